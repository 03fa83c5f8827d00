"""Watching the platform and renewing a lease, on threads that may wait."""

import functools
import random
import threading
from collections.abc import Callable

from result import Result

from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics
from bramleystair.replicas import (
    LIST_PERIOD_S,
    LISTED_PREFIXES,
    WATCHED_PREFIXES,
    PlatformListed,
    PlatformObjects,
)
from bramleystair.store import Changes, ErrorKind, Listing, PlatformClient
from bramleystair.tables import (
    AgentAnnouncement,
    BalancerAnnouncement,
    build_key,
    encode_object,
)

WATCH_S = 30.0
# Nodes that lost the platform together must not return together.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 5.0

log = get_logger("platform")


class PlatformLink:
    """Carry out what a replica wants of the platform.

    Parameters
    ----------
    url : str
        URL of the platform; empty to do nothing.
    metrics : Metrics
        Counts failed calls.
    deliver : callable
        Receives what the platform listed or reported.
    source : random.Random
        Source of the delays between retries.
    """

    def __init__(
        self,
        url: str,
        metrics: Metrics,
        deliver: Callable[[PlatformObjects | PlatformListed], None],
        source: random.Random,
    ) -> None:
        self._url = url
        self._metrics = metrics
        self._deliver = deliver
        self._random = source
        self._changed = threading.Condition()
        self._is_open = True
        self._is_watch_wanted = False
        self._pending: tuple[AgentAnnouncement | BalancerAnnouncement, float] | None = (
            None
        )

    def start(self) -> None:
        """Start the threads."""
        if not self._url:
            return
        # A watch waits in the platform for long, and must not delay a stop.
        watches = [functools.partial(self._run_watch, key) for key in WATCHED_PREFIXES]
        for loop in (*watches, self._run_lists, self._run_lease):
            threading.Thread(
                target=self._guard, args=(loop,), name="platform", daemon=True
            ).start()

    def set_watch(self, is_wanted: bool) -> None:
        """Begin to watch, or end it with the present call."""
        with self._changed:
            self._is_watch_wanted = is_wanted
            self._changed.notify_all()

    def renew(
        self, announcement: AgentAnnouncement | BalancerAnnouncement, lease_s: float
    ) -> None:
        """Write `announcement` with a lease, in place of one not yet written."""
        with self._changed:
            self._pending = (announcement, lease_s)
            self._changed.notify_all()

    def close(self) -> None:
        """Deliver and write nothing from now on."""
        with self._changed:
            self._is_open = False
            self._changed.notify_all()

    def _guard(self, loop: Callable[[], None]) -> None:
        # The platform is not needed to serve, so no answer of it may stop a node or
        # end its watch for good.
        while self._is_open:
            try:
                loop()
            except Exception:
                log.exception("handling an answer failed")
                self._metrics.count("platform_failed", "exception")
                self._pause()

    def _run_watch(self, prefix: str) -> None:
        client = PlatformClient(self._url)
        cursor = None
        while self._wait_for(lambda: self._is_watch_wanted):
            if cursor is None:
                result = client.list_objects(prefix)
            else:
                result = client.watch(prefix, cursor, WATCH_S)
            if result.is_ok():
                cursor = self._take_changes(result.unwrap())
                continue
            if result.unwrap_err().kind is ErrorKind.CURSOR_EXPIRED:
                cursor = None
            self._fail("watch", result)

    def _take_changes(self, answer: Listing | Changes) -> int:
        objects = tuple(item.to_stored_object() for item in answer.objects)
        if objects and self._is_open:
            self._deliver(PlatformObjects(objects))
        return answer.cursor

    def _run_lists(self) -> None:
        # Each renewed lease would end a watch of announcements: at the planned size
        # 2,480 calls per second. Nodes hear of each other by heartbeats instead.
        client = PlatformClient(self._url)
        while self._wait_for(lambda: self._is_watch_wanted):
            for prefix in LISTED_PREFIXES:
                self._list(client, prefix)
            with self._changed:
                self._changed.wait_for(lambda: not self._is_open, LIST_PERIOD_S)

    def _list(self, client: PlatformClient, prefix: str) -> None:
        while self._is_open:
            result = client.list_objects(prefix)
            if result.is_ok():
                objects = [item.to_stored_object() for item in result.unwrap().objects]
                self._deliver(PlatformListed(prefix, tuple(objects)))
                return
            self._fail("list", result)

    def _run_lease(self) -> None:
        client = PlatformClient(self._url)
        while self._wait_for(lambda: self._pending is not None):
            pending = self._pending
            announcement, lease_s = pending
            result = client.put_verified(
                build_key(announcement),
                encode_object(announcement).decode(),
                lease_s=lease_s,
            )
            if result.is_err():
                self._fail("lease", result)
                continue
            with self._changed:
                if self._pending is pending:
                    self._pending = None

    def _fail(self, step: str, result: Result) -> None:
        error = result.unwrap_err()
        self._metrics.count("platform_failed", f"{step}_{error.kind}")
        log.warning("%s", error)
        self._pause()

    def _pause(self) -> None:
        delay_s = self._random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        with self._changed:
            self._changed.wait_for(lambda: not self._is_open, delay_s)

    def _wait_for(self, is_met: Callable[[], bool]) -> bool:
        """Wait until `is_met`, and return whether the link is still open."""
        with self._changed:
            self._changed.wait_for(lambda: not self._is_open or is_met())
            return self._is_open
