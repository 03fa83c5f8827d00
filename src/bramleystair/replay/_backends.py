"""Model of a backend server: slots, speed and a cold start of its own."""

import collections
import random
from collections.abc import Callable

import attrs

from bramleystair.replay._carrier import Carrier

COLD_SPEED = 0.2
COLD_S = 60.0
QUEUE_PER_SLOT = 2


@attrs.frozen
class Job:
    """One request at a backend server."""

    name: str
    begin: Callable[[], None]
    finish: Callable[[], None]


class Backend:
    """Run requests on a number of slots.

    Parameters
    ----------
    carrier : Carrier
        Time.
    source : random.Random
        Source of service times.
    slots : int
        Requests that run at once.
    speed : float
        Speed relative to the slowest backend server.
    service_s : float
        Mean service time of a warm backend server of speed 1, in seconds.
    """

    def __init__(
        self,
        carrier: Carrier,
        source: random.Random,
        slots: int,
        speed: float,
        service_s: float,
    ) -> None:
        self.speed = speed
        self.is_up = True
        self._carrier = carrier
        self._source = source
        self._slots = slots
        self._service_s = service_s
        self._cold_until_s = carrier.now + COLD_S
        self._running: dict[str, Job] = {}
        self._queue: collections.deque[Job] = collections.deque()

    def make_cold(self) -> None:
        """Become cold again, without notice."""
        self._cold_until_s = self._carrier.now + COLD_S

    def submit(self, job: Job) -> bool:
        """Take a request, or shed it without running it when the queue is full."""
        if len(self._running) < self._slots:
            self._start(job)
            return True
        if len(self._queue) >= QUEUE_PER_SLOT * self._slots:
            return False
        self._queue.append(job)
        return True

    def cancel(self, name: str) -> bool:
        """Drop a request that has not started; return whether there was one."""
        count = len(self._queue)
        self._queue = collections.deque(job for job in self._queue if job.name != name)
        return len(self._queue) < count

    def _start(self, job: Job) -> None:
        self._running[job.name] = job
        job.begin()
        left = max(0.0, self._cold_until_s - self._carrier.now) / COLD_S
        speed = self.speed * (1 - (1 - COLD_SPEED) * left)
        mean_s = self._service_s / speed
        delay_s = self._source.uniform(0.5 * mean_s, 1.5 * mean_s)
        self._carrier.schedule(delay_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        if not self.is_up:
            return
        self._running.pop(job.name, None)
        job.finish()
        if self._queue and len(self._running) < self._slots:
            self._start(self._queue.popleft())
