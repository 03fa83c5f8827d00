"""Measurements of the decision modules."""

from bramleystair.bench._carrier import Carrier, Faults
from bramleystair.bench._fleet import build_fleet, introduce

__all__ = ["Carrier", "Faults", "build_fleet", "introduce"]
