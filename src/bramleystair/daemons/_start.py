"""Steps at the start of a daemon."""

import sys
import time
from pathlib import Path
from typing import TypeVar

from bramleystair.settings import load_settings

T = TypeVar("T")

EXIT_SETTINGS = 2


def read_settings(path: Path, schema: type[T]) -> T:
    """Return the settings in `path`, or print every mistake and exit."""
    result = load_settings(path, schema)
    if result.is_ok():
        return result.unwrap()
    for error in result.unwrap_err():
        print(error, file=sys.stderr)
    raise SystemExit(EXIT_SETTINGS)


def create_incarnation() -> int:
    """Return the number of this lifetime, above those of earlier ones."""
    return time.time_ns() // 1_000_000
