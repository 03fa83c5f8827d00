"""HTTP requests sent by the caller stand-in."""

import base64
import hashlib
import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

import attrs
import requests

from bramleystair.requests import decode_ticket, parse_ticket

MAX_THREADS = 256
ATTEMPT_TIMEOUT_S = 10.0
# A request without a final response within this time counts as lost.
FINAL_RESPONSE_TIMEOUT_S = 30.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.3
MAX_TICKETS = 20
HTTP_OK = 200
HTTP_CREATED = 201


@attrs.frozen
class RequestSpec:
    """Requests to send until the caller is stopped.

    Parameters
    ----------
    service : str
        Service that executes the requests.
    threads : int
        Number of concurrent requests.
    pause_s : float
        Mean pause of a thread between two requests, in seconds.
    is_idempotent : bool
        Whether the requests are downloads; otherwise they are writes sent with tickets.
    body_bytes : int
        Size of the request body.
    """

    service: str
    threads: int
    pause_s: float = 0.05
    is_idempotent: bool = False
    body_bytes: int = 200


@attrs.define
class CallRecord:
    """A caller's record of one request.

    Parameters
    ----------
    body_id : str
        First bytes of the body, unique to the request.
    tickets : list of str
        Request names under which the request may have run.
    not_run : list of str
        Those of `tickets` that a response reported as "not run".
    outcome : str
        `done`, `not_run`, `unknown`, or `lost`.
    """

    body_id: str
    service: str
    is_idempotent: bool
    started_s: float
    tickets: list[str] = attrs.Factory(list)
    not_run: list[str] = attrs.Factory(list)
    outcome: str = "lost"
    server: str = ""
    ended_s: float = 0.0
    repeats: int = 0
    faults: list[str] = attrs.Factory(list)


class CallerRequests:
    """Send requests and record their outcomes.

    Parameters
    ----------
    balancers : tuple of str
        HTTP endpoints of balancers.
    rng : random.Random
        Random number generator for choices and pauses.
    """

    def __init__(self, balancers: tuple[str, ...], rng: random.Random) -> None:
        self._balancers = balancers
        self._rng = rng
        self._records: list[CallRecord] = []
        self._lock = threading.Lock()
        self._is_sending = True
        self._pool = ThreadPoolExecutor(MAX_THREADS)
        self._futures: list[Future] = []

    def set_balancers(self, balancers: tuple[str, ...]) -> None:
        """Replace the balancers used for new attempts."""
        self._balancers = balancers

    def start_sending(self, spec: RequestSpec) -> None:
        """Start threads that send requests until `stop_sending`."""
        self._is_sending = True
        for _ in range(spec.threads):
            seed = self._rng.getrandbits(64)
            future = self._pool.submit(
                self._send_continuously, spec, random.Random(seed)
            )
            self._futures.append(future)

    def stop_sending(self) -> None:
        """Stop sending and wait for the requests in progress."""
        self._is_sending = False
        for future in self._futures:
            future.result()
        self._futures = []

    def close(self) -> None:
        """Stop sending and join the threads."""
        self._is_sending = False
        self._pool.shutdown(wait=True)

    def report(self) -> list[dict]:
        """Return the records of all finished requests."""
        with self._lock:
            return [attrs.asdict(record) for record in self._records]

    def _send_continuously(self, spec: RequestSpec, rng: random.Random) -> None:
        session = requests.Session()
        pause = threading.Event()
        while self._is_sending:
            record = CallRecord(
                f"{rng.getrandbits(64):016x}",
                spec.service,
                spec.is_idempotent,
                time.monotonic(),
            )
            runner = _RequestRunner(self, spec, rng, session, record)
            runner.run()
            record.ended_s = time.monotonic()
            with self._lock:
                self._records.append(record)
            pause.wait(rng.expovariate(1 / spec.pause_s))

    def choose_balancer(self, rng: random.Random) -> str:
        """Return the endpoint of a random balancer."""
        return rng.choice(self._balancers)


@attrs.define
class _RequestRunner:
    """Execution of one request, with retries, until its final response."""

    parent: CallerRequests
    spec: RequestSpec
    rng: random.Random
    session: requests.Session
    record: CallRecord

    def run(self) -> None:
        body = self.record.body_id.encode().ljust(self.spec.body_bytes, b".")
        send = self._download if self.spec.is_idempotent else self._write
        while time.monotonic() < self.record.started_s + FINAL_RESPONSE_TIMEOUT_S:
            if send(body):
                return
            self.record.repeats += 1
            self._pause()

    def _download(self, body: bytes) -> bool:
        """Send the request without a ticket; return whether it is finished."""
        path = f"/v1/services/{self.spec.service}/requests"
        response = self._send("POST", path, body, {"Idempotent": "true"})
        if response is None or response.status_code != HTTP_OK:
            return False
        return self._record_response(response, body)

    def _write(self, body: bytes) -> bool:
        """Send the request with a new ticket; return whether it is finished."""
        if len(self.record.tickets) >= MAX_TICKETS:
            self.record.outcome = "not_run"
            return True
        path = f"/v1/services/{self.spec.service}/requests"
        response = self._send("POST", path, b"")
        if response is None or response.status_code != HTTP_CREATED:
            return False
        location = response.headers["Location"]
        name = _read_request_name(location)
        self.record.tickets.append(name)
        return self._send_with_ticket(location, name, body)

    def _send_with_ticket(self, location: str, name: str, body: bytes) -> bool:
        # The ticket makes retries safe, so the request is repeated until an answer
        # arrives.
        while time.monotonic() < self.record.started_s + FINAL_RESPONSE_TIMEOUT_S:
            response = self._send("PUT", location, body)
            if response is not None and response.status_code == HTTP_OK:
                return self._record_response(response, body)
            content = _read_error(response)
            if content.get("not_run"):
                self.record.not_run.append(name)
                return False
            if content.get("outcome") == "unknown" and response.status_code < 500:
                self.record.outcome = "unknown"
                return True
            if content.get("reason") in ("incarnation_gone", "agent_down", "zone_out"):
                self.record.outcome = "unknown"
                return True
            self.record.repeats += 1
            self._pause()
        return True

    def _record_response(self, response: requests.Response, body: bytes) -> bool:
        head, _, rest = response.content.partition(b"\n")
        words = head.decode(errors="replace").split()
        digest = base64.b64encode(hashlib.sha256(response.content).digest()).decode()
        is_digest_valid = response.headers.get("Repr-Digest") == f"sha-256=:{digest}:"
        is_matching = rest.startswith(body) and words[1:2] == [self.spec.service]
        if not is_digest_valid or not is_matching:
            self.record.faults.append("incomplete" if is_matching else "other_response")
            return False
        self.record.outcome = "done"
        self.record.server = words[0]
        if self.spec.is_idempotent:
            self.record.tickets.append(words[2])
        return True

    def _send(
        self, method: str, path: str, body: bytes, headers: dict | None = None
    ) -> requests.Response | None:
        url = f"http://{self.parent.choose_balancer(self.rng)}{path}"
        try:
            response = self.session.request(
                method, url, data=body, headers=headers, timeout=ATTEMPT_TIMEOUT_S
            )
        except requests.RequestException as error:
            self.record.faults.append(type(error).__name__)
            return None
        if response.status_code >= 400:
            content = _read_error(response)
            fault = f"{method} {response.status_code} {content.get('reason', '')}"
            self.record.faults.append(fault)
        return response

    def _pause(self) -> None:
        threading.Event().wait(self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S))


def _read_request_name(location: str) -> str:
    data = decode_ticket(location.rpartition("/")[2]).unwrap()
    return parse_ticket(data).unwrap().request_name


def _read_error(response: requests.Response | None) -> dict:
    if response is None:
        return {}
    try:
        content = response.json()
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}
