"""Start of a daemon: settings, incarnation and seeds."""

import sys
import time
from pathlib import Path
from typing import TypeVar

from bramleystair.settings import SeedSettings, load_settings
from bramleystair.store import PlatformClient
from bramleystair.tables import BALANCER_PREFIX, decode_object

T = TypeVar("T")

EXIT_INVALID_SETTINGS = 2
EXIT_NO_BALANCER = 3


def read_settings(path: Path, schema: type[T]) -> T:
    """Return the settings in `path`; print all errors and exit if they are invalid."""
    result = load_settings(path, schema)
    if result.is_ok():
        return result.unwrap()
    for error in result.unwrap_err():
        print(error, file=sys.stderr)
    raise SystemExit(EXIT_INVALID_SETTINGS)


def create_incarnation() -> int:
    """Return the incarnation number of this process, above all earlier ones."""
    return time.time_ns() // 1_000_000


def find_seeds(platform: str) -> tuple[SeedSettings, ...]:
    """Return the balancers that the platform lists; none if it does not answer."""
    listing = PlatformClient(platform).list_objects(BALANCER_PREFIX)
    if listing.is_err():
        return ()
    decoded = (
        decode_object(item.key, item.body.encode()) for item in listing.unwrap().objects
    )
    nodes = [result.unwrap() for result in decoded if result.is_ok()]
    return tuple(SeedSettings(node.node, node.host, node.port) for node in nodes)


def require_seeds(
    seeds: tuple[SeedSettings, ...], platform: str
) -> tuple[SeedSettings, ...]:
    """Return `seeds`, or else the balancers that the platform lists, or exit.

    An agent learns of balancers from balancers only, so without a first one its
    supervisor has to restart it.
    """
    found = seeds or (find_seeds(platform) if platform else ())
    if found:
        return found
    print("no balancer found: set seeds or platform in the settings", file=sys.stderr)
    raise SystemExit(EXIT_NO_BALANCER)
