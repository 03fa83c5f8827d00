"""Connection to the platform: watches, listings and lease renewal on own threads."""

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

# A lost response on a connection that stays open shows only when the watch times out.
# With these limits, the change is known after 10 s at the latest, which leaves 5 s to
# spread it. Only a few balancers of each zone watch.
WATCH_S = 5.0
WATCH_RESPONSE_TIMEOUT_S = 2.0
# Random delays, so that nodes do not all reconnect at once after a platform outage.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 5.0

log = get_logger("platform")


class PlatformLink:
    """Watch the platform and renew the lease for a replica.

    Parameters
    ----------
    url : str
        URL of the platform; without one nothing is done.
    metrics : Metrics
        Registry that counts failed calls.
    deliver : callable
        Called with listings and reported changes.
    source : random.Random
        Random number generator of the delays between retries.
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
        self._is_watcher = False
        self._renewal: tuple[AgentAnnouncement | BalancerAnnouncement, float] | None = (
            None
        )
        self._last_renewal = self._renewal
        self._epoch: int | None = None

    def start(self) -> None:
        """Start the threads if a platform is configured."""
        if not self._url:
            return
        # Daemon threads, because a pending watch call must not delay a stop.
        watches = [functools.partial(self._run_watch, key) for key in WATCHED_PREFIXES]
        for loop in (*watches, self._run_listings, self._run_lease_renewal):
            threading.Thread(
                target=self._restart_on_error,
                args=(loop,),
                name="platform",
                daemon=True,
            ).start()

    def set_watch(self, is_watcher: bool) -> None:
        """Start watching, or stop when the pending watch call returns."""
        with self._changed:
            self._is_watcher = is_watcher
            self._changed.notify_all()

    def renew(
        self, announcement: AgentAnnouncement | BalancerAnnouncement, lease_s: float
    ) -> None:
        """Write `announcement` with a lease; replaces one that is still pending."""
        with self._changed:
            self._renewal = self._last_renewal = (announcement, lease_s)
            self._changed.notify_all()

    def close(self) -> None:
        """Stop delivering changes and renewing the lease."""
        with self._changed:
            self._is_open = False
            self._changed.notify_all()

    def _restart_on_error(self, loop: Callable[[], None]) -> None:
        # A node serves without the platform, so no response of the platform may stop
        # the node or end a watch for good.
        while self._is_open:
            try:
                loop()
            except Exception:
                log.exception("error while handling a response of the platform")
                self._metrics.count("platform_failed", "exception")
                self._pause()

    def _run_watch(self, prefix: str) -> None:
        client = PlatformClient(self._url, timeout_s=WATCH_RESPONSE_TIMEOUT_S)
        last: Listing | Changes | None = None
        wait_s = WATCH_S
        while self._wait_for(lambda: self._is_watcher):
            if last is None:
                result = client.list_objects(prefix)
            else:
                result = client.watch(prefix, last.cursor, wait_s, last.epoch)
            self._handle_epoch(client.epoch)
            if result.is_ok():
                last = result.unwrap()
                self._deliver_changes(last)
                wait_s = WATCH_S
                continue
            # A single lost response is likely, so the first retry does not wait for an
            # outage to end.
            is_repeated, wait_s = wait_s == 0.0, 0.0
            # The response to a call that does not wait shows at once whether the
            # platform was restored during the failure.
            if result.unwrap_err().kind is ErrorKind.CURSOR_EXPIRED:
                last = None
            self._handle_failure("watch", result, is_repeated)

    def _deliver_changes(self, response: Listing | Changes) -> None:
        objects = tuple(item.to_stored_object() for item in response.objects)
        if objects and self._is_open:
            self._deliver(PlatformObjects(objects))

    def _handle_epoch(self, epoch: int) -> None:
        """Repeat the last renewal if the platform was restored from an older copy."""
        with self._changed:
            if self._epoch is None:
                self._epoch = epoch
            if epoch <= self._epoch:
                return
            self._epoch = epoch
            self._renewal = self._last_renewal
            self._changed.notify_all()
        self._metrics.count("platform_restored")
        log.warning(
            "the platform was restored from an older copy", extra={"epoch": epoch}
        )

    def _run_listings(self) -> None:
        # Listed periodically, not watched: each renewed lease would end a watch of
        # announcements, which at the planned size gives 2,480 calls per second. In
        # between, nodes learn of each other from heartbeats.
        client = PlatformClient(self._url)
        while self._wait_for(lambda: self._is_watcher):
            for prefix in LISTED_PREFIXES:
                self._deliver_listing(client, prefix)
            with self._changed:
                self._changed.wait_for(lambda: not self._is_open, LIST_PERIOD_S)

    def _deliver_listing(self, client: PlatformClient, prefix: str) -> None:
        while self._is_open:
            result = client.list_objects(prefix)
            if result.is_ok():
                objects = [item.to_stored_object() for item in result.unwrap().objects]
                self._deliver(PlatformListed(prefix, tuple(objects)))
                return
            self._handle_failure("list", result)

    def _run_lease_renewal(self) -> None:
        client = PlatformClient(self._url)
        while self._wait_for(lambda: self._renewal is not None):
            pending = self._renewal
            announcement, lease_s = pending
            result = client.put_verified(
                build_key(announcement),
                encode_object(announcement).decode(),
                lease_s=lease_s,
            )
            if result.is_err():
                self._handle_failure("lease", result)
                continue
            with self._changed:
                if self._renewal is pending:
                    self._renewal = None

    def _handle_failure(
        self, step: str, result: Result, is_repeated: bool = True
    ) -> None:
        error = result.unwrap_err()
        self._metrics.count("platform_failed", f"{step}_{error.kind}")
        log.warning("%s", error)
        self._pause(is_repeated)

    def _pause(self, is_repeated: bool = True) -> None:
        delay_s = self._random.uniform(0.0, RETRY_MIN_S)
        if is_repeated:
            delay_s = self._random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        with self._changed:
            self._changed.wait_for(lambda: not self._is_open, delay_s)

    def _wait_for(self, is_met: Callable[[], bool]) -> bool:
        """Wait until `is_met`, and return whether the link is still open."""
        with self._changed:
            self._changed.wait_for(lambda: not self._is_open or is_met())
            return self._is_open
