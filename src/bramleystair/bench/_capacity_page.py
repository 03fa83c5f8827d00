"""Capacity page, written from the measured slopes."""

from pathlib import Path


def write_capacity_page(output: Path) -> None:
    """Write docs/CAPACITY.md and its plots from the data in `output`."""
