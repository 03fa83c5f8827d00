"""Stand-in for a backend server: HTTP requests, UDP echo and UDP streams."""

import collections
import concurrent.futures
import json
import logging
import random
import signal
import socket
import threading
import time
from collections.abc import Sequence

import attrs
from cheroot import wsgi
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from bramleystair.timers import MonotonicClock, TimerService

log = logging.getLogger("bramleystair.standin")

HTTP_THREADS = 64
MAX_DATAGRAM_BYTES = 65_507
MAX_FEED_DATAGRAMS = 1_000_000
FEED_PERIOD_S = 0.1
TICK_S = 0.01
STOP_POLL_S = 0.1
BIND_ATTEMPTS = 20
LOAD_HISTORY_LENGTH = 1_000

ROUTES = Map(
    [
        Rule("/run/<service>", methods=["POST"], endpoint="run"),
        Rule("/run/<request_name>", methods=["DELETE"], endpoint="cancel"),
        Rule("/health", methods=["GET"], endpoint="health"),
        Rule("/load", methods=["GET"], endpoint="load"),
        Rule("/record", methods=["GET"], endpoint="record"),
        Rule("/control", methods=["POST"], endpoint="control"),
    ]
)


@attrs.define
class Behaviour:
    """Behaviour of the backend server, changeable at run time.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    queue_length : int
        Maximum number of requests waiting for a slot; further ones are shed.
    service_time_s : float
        Processing time of a request when warm.
    cold_factor : float
        Initial factor on the service time after a start; it falls linearly to 1.
    cold_s : float
        Time until the factor reaches 1.
    shed_fraction : float
        Fraction of requests shed regardless of load.
    is_draining : bool
        Whether all new requests are shed.
    health : str
        Status that ``/health`` reports: ``"ok"``, ``"bad"``, or ``"true"`` for the
        actual status.
    report_lag_s : float
        Delay of the load that ``/load`` reports.
    load_factor : float
        Factor on the load that ``/load`` reports.
    response_bytes : int
        Minimum length of responses, reached by padding.
    """

    slots: int = 3
    queue_length: int = 3
    service_time_s: float = 0.05
    cold_factor: float = 1.0
    cold_s: float = 0.0
    shed_fraction: float = 0.0
    is_draining: bool = False
    health: str = "true"
    report_lag_s: float = 0.0
    load_factor: float = 1.0
    response_bytes: int = 0


@attrs.define
class _Job:
    is_running: bool = False
    is_cancelled: bool = False


class Backend:
    """Stand-in backend server.

    Parameters
    ----------
    name : str
        Name of the backend server.
    services : sequence of str
        Services of the backend server; datagrams are answered for the first.
    host, port : str, int
        Address for HTTP and UDP; port 0 selects a free port.
    behaviour : Behaviour
        Initial behaviour.
    seed : int
        Seed of the random choice of shed requests.
    """

    def __init__(
        self,
        name: str,
        services: Sequence[str],
        host: str,
        port: int,
        behaviour: Behaviour,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self.runs: collections.Counter[str] = collections.Counter()
        self.totals: collections.Counter[str] = collections.Counter()
        self._services = tuple(services)
        self._rng = random.Random(seed)
        self._started_s = time.monotonic()
        self._condition = threading.Condition()
        self._jobs: dict[str, _Job] = {}
        self._queued = 0
        self._running = 0
        self._load_history: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=LOAD_HISTORY_LENGTH)
        )
        self._timers = TimerService(MonotonicClock())
        self._datagram_counts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._http = wsgi.Server(
            (host, port), self._serve, numthreads=HTTP_THREADS, request_queue_size=256
        )
        self._http.expiration_interval = STOP_POLL_S
        self._udp: socket.socket | None = None
        self._pool = concurrent.futures.ThreadPoolExecutor(3)
        self._is_stopping = threading.Event()

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for HTTP and UDP."""
        return self._http.bind_addr

    def start(self) -> None:
        """Start serving."""
        self._bind()
        self._timers.call_every(TICK_S, self._sample_load)
        self._pool.submit(self._http.serve)
        self._pool.submit(self._serve_datagrams)
        self._pool.submit(self._run_timers)

    def stop(self) -> None:
        """Finish the running requests and stop."""
        self._is_stopping.set()
        self._http.stop()
        # The datagram thread blocks in recvfrom(), so an empty datagram wakes it.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as wakeup:
            wakeup.sendto(b"", self.address)
        self._pool.shutdown(wait=True)
        self._udp.close()

    def _bind(self) -> None:
        host, port = self.address
        for _ in range(BIND_ATTEMPTS):
            self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._udp.bind((host, port))
                self._http.bind_addr = self._udp.getsockname()
                self._http.prepare()
                return
            except OSError as error:
                # The port that was selected for UDP may be in use for TCP.
                self._udp.close()
                last_error = error
        raise last_error

    # HTTP

    def _serve(self, environ, start_response):
        request = Request(environ)
        try:
            endpoint, values = ROUTES.bind_to_environ(environ).match()
        except HTTPException as error:
            return error(environ, start_response)
        handler = getattr(self, f"_serve_{endpoint}")
        return handler(request, **values)(environ, start_response)

    def _serve_run(self, request: Request, service: str) -> Response:
        body = request.get_data()
        if service not in self._services:
            self.totals["wrong_service"] += 1
            return Response(status=404)
        name = request.headers.get("Request-Id", "")
        deadline_s = time.monotonic() + int(request.headers["Deadline-Ms"]) / 1000
        with self._condition:
            job = self._jobs[name] = _Job()
            try:
                return self._run(job, name, service, body, deadline_s)
            finally:
                self._jobs.pop(name, None)
                self._condition.notify_all()

    def _run(
        self, job: _Job, name: str, service: str, body: bytes, deadline_s: float
    ) -> Response:
        if not self._acquire_slot(job, deadline_s):
            self.totals["shed"] += 1
            return Response(status=503, headers={"Shed": "1", "Retry-After": "1"})
        job.is_running = True
        self._running += 1
        self.runs[name] += 1
        try:
            end_s = time.monotonic() + self._compute_service_time()
            self._wait_for_job(job, min(end_s, deadline_s))
        finally:
            self._running -= 1
        if job.is_cancelled:
            self.totals["cancelled"] += 1
            return Response(status=409)
        if end_s > deadline_s:
            self.totals["late"] += 1
            return Response(status=504)
        self.totals["done"] += 1
        content = f"{self.name} {service} {name}\n".encode() + body
        return Response(content.ljust(self.behaviour.response_bytes, b"."))

    def _acquire_slot(self, job: _Job, deadline_s: float) -> bool:
        """Wait for a slot; return whether one was free before the deadline."""
        behaviour = self.behaviour
        is_shed = self._rng.random() < behaviour.shed_fraction
        is_full = self._running >= behaviour.slots
        if is_shed or behaviour.is_draining:
            return False
        if is_full and self._queued >= behaviour.queue_length:
            return False
        self._queued += 1
        try:
            while self._running >= self.behaviour.slots and not job.is_cancelled:
                if not self._condition.wait(deadline_s - time.monotonic()):
                    return False
        finally:
            self._queued -= 1
        return not job.is_cancelled

    def _wait_for_job(self, job: _Job, end_s: float) -> None:
        while not job.is_cancelled and (remaining_s := end_s - time.monotonic()) > 0:
            self._condition.wait(remaining_s)

    def _compute_service_time(self) -> float:
        behaviour = self.behaviour
        age_s = time.monotonic() - self._started_s
        coldness = max(0.0, 1 - age_s / behaviour.cold_s) if behaviour.cold_s else 0.0
        return behaviour.service_time_s * (1 + (behaviour.cold_factor - 1) * coldness)

    def _serve_cancel(self, request: Request, request_name: str) -> Response:
        with self._condition:
            job = self._jobs.get(request_name)
            if job is None:
                return Response(status=404)
            job.is_cancelled = True
            self._condition.notify_all()
        return Response(status=200)

    def _serve_health(self, request: Request) -> Response:
        health = self.behaviour.health
        if health == "true":
            health = "bad" if self.behaviour.is_draining else "ok"
        return _build_json_response({"status": health}, 200 if health == "ok" else 503)

    def _serve_load(self, request: Request) -> Response:
        running, queued = self._get_reported_load()
        factor = self.behaviour.load_factor
        content = {
            "running": int(running * factor),
            "queued": int(queued * factor),
            "slots": self.behaviour.slots,
        }
        return _build_json_response(content)

    def _serve_record(self, request: Request) -> Response:
        with self._condition:
            return _build_json_response(
                {"runs": dict(self.runs), "totals": dict(self.totals)}
            )

    def _serve_control(self, request: Request) -> Response:
        changes = json.loads(request.get_data())
        if changes.pop("restart", False):
            self._started_s = time.monotonic()
        allowed = {field.name for field in attrs.fields(Behaviour)}
        unknown = sorted(set(changes) - allowed)
        if unknown:
            return _build_json_response(
                {"unknown": unknown, "allowed": sorted(allowed)}, 400
            )
        with self._condition:
            self.behaviour = attrs.evolve(self.behaviour, **changes)
            self._condition.notify_all()
        return _build_json_response(attrs.asdict(self.behaviour))

    def _sample_load(self, now: float) -> None:
        self._load_history.append((now, self._running, self._queued))

    def _get_reported_load(self) -> tuple[int, int]:
        if not self.behaviour.report_lag_s:
            return self._running, self._queued
        report_s = time.monotonic() - self.behaviour.report_lag_s
        for time_s, running, queued in reversed(self._load_history):
            if time_s <= report_s:
                return running, queued
        return 0, 0

    # UDP

    def _serve_datagrams(self) -> None:
        while not self._is_stopping.is_set():
            try:
                data, address = self._udp.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log.debug("standin: cannot receive datagram: %s", error)
                continue
            if data.startswith(b"feed "):
                self._start_feed(data, address)
            elif not self._is_stopping.is_set():
                self._answer_datagram(address, data)

    def _answer_datagram(self, address: tuple[str, int], data: bytes) -> None:
        self._datagram_counts[address] += 1
        header = f"{self.name} {self._services[0]} {self._datagram_counts[address]} "
        try:
            self._udp.sendto(header.encode() + data, address)
        except OSError as error:
            log.debug("standin: cannot send datagram: %s", error)

    def _start_feed(self, data: bytes, address: tuple[str, int]) -> None:
        """Stream datagrams in reply to ``feed COUNT [PERIOD_MS]``."""
        words = data.split()[1:]
        if not words or not all(word.isdigit() for word in words):
            return
        remaining = min(int(words[0]), MAX_FEED_DATAGRAMS)
        period_s = int(words[1]) / 1000 if len(words) > 1 else FEED_PERIOD_S

        def send_next(now: float) -> None:
            nonlocal remaining
            if remaining <= 0:
                timer.cancel()
                return
            remaining -= 1
            self._answer_datagram(address, b"feed")

        timer = self._timers.call_every(max(period_s, TICK_S), send_next)

    def _run_timers(self) -> None:
        while not self._is_stopping.wait(TICK_S):
            self._timers.run_due()


def run_backend(
    *,
    name: str,
    services: Sequence[str],
    host: str = "127.0.0.1",
    port: int = 0,
    slots: int = 3,
    queue_length: int = 3,
    service_time_s: float = 0.05,
    cold_factor: float = 1.0,
    cold_s: float = 0.0,
    shed_fraction: float = 0.0,
    seed: int = 0,
) -> None:
    """Run the backend server stand-in until SIGTERM or SIGINT."""
    behaviour = Behaviour(
        slots, queue_length, service_time_s, cold_factor, cold_s, shed_fraction
    )
    backend = Backend(name, services, host, port, behaviour, seed)
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    backend.start()
    log.info("standin: backend server %s listening on %s:%d", name, *backend.address)
    stopped.wait()
    backend.stop()


def _build_json_response(content: dict, status: int = 200) -> Response:
    text = json.dumps(content)
    return Response(text, status, content_type="application/json")
