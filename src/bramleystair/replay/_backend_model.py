"""Model of a backend server with request slots, a speed and a cold start."""

import collections
import random
from collections.abc import Callable

import attrs

from bramleystair.replay._scheduler import EventScheduler

COLD_SPEED = 0.2
COLD_S = 60.0
QUEUE_PER_SLOT = 2


@attrs.frozen
class Job:
    """A request at a backend server, with callbacks for its start and its end."""

    name: str
    begin: Callable[[], None]
    finish: Callable[[], None]


class Backend:
    """Backend server that runs requests on a fixed number of slots.

    Parameters
    ----------
    scheduler : EventScheduler
        Clock and timers.
    rng : random.Random
        Random numbers for service times.
    slots : int
        Requests that run concurrently.
    speed : float
        Speed relative to the slowest backend server.
    service_s : float
        Mean service time of a warm backend server of speed 1, in seconds.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        rng: random.Random,
        slots: int,
        speed: float,
        service_s: float,
    ) -> None:
        self.speed = speed
        self.is_up = True
        self._scheduler = scheduler
        self._rng = rng
        self._slots = slots
        self._service_s = service_s
        self._cold_until_s = scheduler.now + COLD_S
        self._running: dict[str, Job] = {}
        self._queue: collections.deque[Job] = collections.deque()

    def make_cold(self) -> None:
        """Restart the warm-up without informing the agent."""
        self._cold_until_s = self._scheduler.now + COLD_S

    def submit(self, job: Job) -> bool:
        """Start or queue a request; return False if the queue is full."""
        if len(self._running) < self._slots:
            self._start(job)
            return True
        if len(self._queue) >= QUEUE_PER_SLOT * self._slots:
            return False
        self._queue.append(job)
        return True

    def cancel(self, name: str) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        count = len(self._queue)
        self._queue = collections.deque(job for job in self._queue if job.name != name)
        return len(self._queue) < count

    def _start(self, job: Job) -> None:
        self._running[job.name] = job
        job.begin()
        left = max(0.0, self._cold_until_s - self._scheduler.now) / COLD_S
        speed = self.speed * (1 - (1 - COLD_SPEED) * left)
        mean_s = self._service_s / speed
        delay_s = self._rng.uniform(0.5 * mean_s, 1.5 * mean_s)
        self._scheduler.schedule(delay_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        if not self.is_up:
            return
        self._running.pop(job.name, None)
        job.finish()
        if self._queue and len(self._running) < self._slots:
            self._start(self._queue.popleft())
