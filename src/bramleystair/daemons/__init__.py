"""Components shared by the balancer and agent processes."""

from bramleystair.daemons._messenger import Messenger
from bramleystair.daemons._platform_link import WATCH_S, PlatformLink
from bramleystair.daemons._start import (
    create_incarnation,
    find_seeds,
    read_settings,
    require_seeds,
)
from bramleystair.daemons._threads import ThreadGroup, run_daemon

__all__ = [
    "Messenger",
    "WATCH_S",
    "PlatformLink",
    "ThreadGroup",
    "create_incarnation",
    "find_seeds",
    "read_settings",
    "require_seeds",
    "run_daemon",
]
