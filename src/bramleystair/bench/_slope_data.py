"""Stored slopes, as read for the capacity page."""

import json
from pathlib import Path

from bramleystair.bench._fits import Slope

PARTS = ("processes", "state", "operator", "messages")


def read_slopes(data_path: Path) -> dict[str, Slope]:
    """Return the slopes of all measurement parts by name."""
    slopes = {}
    for part in PARTS:
        data = json.loads((data_path / f"{part}.json").read_text())
        for values in data["slopes"]:
            slope = Slope(**values)
            slopes[slope.name] = slope
    return slopes
