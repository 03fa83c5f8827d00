"""Randomised soak test that runs the programs as processes on loopback addresses."""

from bramleystair.soak._check import SoakResult
from bramleystair.soak._cli import main
from bramleystair.soak._run import run_seed

__all__ = ["SoakResult", "main", "run_seed"]
