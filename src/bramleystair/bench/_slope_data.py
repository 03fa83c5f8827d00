"""Measured slopes as the capacity page reads them."""

import json
from pathlib import Path

from bramleystair.bench._fits import Slope

PARTS = ("processes", "state", "operator", "messages")


def read_slopes(output: Path) -> dict[str, Slope]:
    """Return the slopes of all parts by name."""
    slopes = {}
    for part in PARTS:
        data = json.loads((output / f"{part}.json").read_text())
        for values in data["slopes"]:
            slope = Slope(**values)
            slopes[slope.name] = slope
    return slopes
