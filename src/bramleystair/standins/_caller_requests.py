"""HTTP requests of the caller stand-in."""

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
TIMEOUT_S = 10.0
# A caller that gets no final response within this time counts its request as lost.
GIVE_UP_S = 30.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.3
MAX_TICKETS = 20
HTTP_OK = 200
HTTP_CREATED = 201


@attrs.frozen
class RequestOrder:
    """Requests to send until told to finish.

    Parameters
    ----------
    service : str
        Service that runs them.
    threads : int
        Requests in hand at once.
    pause_s : float
        Mean pause of a thread between two requests.
    is_idempotent : bool
        Whether they are downloads; otherwise they are writes, sent with a ticket.
    body_bytes : int
        Size of the body.
    """

    service: str
    threads: int
    pause_s: float = 0.05
    is_idempotent: bool = False
    body_bytes: int = 200


@attrs.define
class CallRecord:
    """What a caller knows of one request.

    Parameters
    ----------
    body_id : str
        Start of the body, unique to the request.
    tickets : list of str
        Names under which it may have run.
    not_run : list of str
        Those of them for which a response said "not run".
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
    source : random.Random
        Source of choices and pauses.
    """

    def __init__(self, balancers: tuple[str, ...], source: random.Random) -> None:
        self._balancers = balancers
        self._random = source
        self._records: list[CallRecord] = []
        self._lock = threading.Lock()
        self._is_sending = True
        self._pool = ThreadPoolExecutor(MAX_THREADS)
        self._futures: list[Future] = []

    def set_balancers(self, balancers: tuple[str, ...]) -> None:
        """Use other balancers from now on."""
        self._balancers = balancers

    def begin(self, order: RequestOrder) -> None:
        """Send the requests of `order` until `finish`."""
        self._is_sending = True
        for _ in range(order.threads):
            seed = self._random.getrandbits(64)
            future = self._pool.submit(self._send_all, order, random.Random(seed))
            self._futures.append(future)

    def finish(self) -> None:
        """Begin no more requests and wait for those in hand."""
        self._is_sending = False
        for future in self._futures:
            future.result()
        self._futures = []

    def close(self) -> None:
        """Finish and end the threads."""
        self._is_sending = False
        self._pool.shutdown(wait=True)

    def report(self) -> list[dict]:
        """Return all requests that have ended."""
        with self._lock:
            return [attrs.asdict(record) for record in self._records]

    def _send_all(self, order: RequestOrder, source: random.Random) -> None:
        session = requests.Session()
        pause = threading.Event()
        while self._is_sending:
            record = CallRecord(
                f"{source.getrandbits(64):016x}",
                order.service,
                order.is_idempotent,
                time.monotonic(),
            )
            call = _Call(self, order, source, session, record)
            call.run()
            record.ended_s = time.monotonic()
            with self._lock:
                self._records.append(record)
            pause.wait(source.expovariate(1 / order.pause_s))

    def choose_balancer(self, source: random.Random) -> str:
        """Return a balancer's endpoint."""
        return source.choice(self._balancers)


@attrs.define
class _Call:
    """One request through to its final response."""

    owner: CallerRequests
    order: RequestOrder
    source: random.Random
    session: requests.Session
    record: CallRecord

    def run(self) -> None:
        body = self.record.body_id.encode().ljust(self.order.body_bytes, b".")
        send = self._download if self.order.is_idempotent else self._write
        while time.monotonic() < self.record.started_s + GIVE_UP_S:
            if send(body):
                return
            self.record.repeats += 1
            self._pause()

    def _download(self, body: bytes) -> bool:
        """Send the request in one step; return whether it has ended."""
        path = f"/v1/services/{self.order.service}/requests"
        response = self._send("POST", path, body, {"Idempotent": "true"})
        if response is None or response.status_code != HTTP_OK:
            return False
        return self._finish(response, body)

    def _write(self, body: bytes) -> bool:
        """Send the request with a new ticket; return whether it has ended."""
        if len(self.record.tickets) >= MAX_TICKETS:
            self.record.outcome = "not_run"
            return True
        path = f"/v1/services/{self.order.service}/requests"
        response = self._send("POST", path, b"")
        if response is None or response.status_code != HTTP_CREATED:
            return False
        location = response.headers["Location"]
        name = _read_name(location)
        self.record.tickets.append(name)
        return self._put(location, name, body)

    def _put(self, location: str, name: str, body: bytes) -> bool:
        # The ticket makes the repetition safe, so it is sent until there is an answer.
        while time.monotonic() < self.record.started_s + GIVE_UP_S:
            response = self._send("PUT", location, body)
            if response is not None and response.status_code == HTTP_OK:
                return self._finish(response, body)
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

    def _finish(self, response: requests.Response, body: bytes) -> bool:
        head, _, rest = response.content.partition(b"\n")
        words = head.decode(errors="replace").split()
        digest = base64.b64encode(hashlib.sha256(response.content).digest()).decode()
        is_whole = response.headers.get("Repr-Digest") == f"sha-256=:{digest}:"
        is_own = rest.startswith(body) and words[1:2] == [self.order.service]
        if not is_whole or not is_own:
            self.record.faults.append("incomplete" if is_own else "other_response")
            return False
        self.record.outcome = "done"
        self.record.server = words[0]
        if self.order.is_idempotent:
            self.record.tickets.append(words[2])
        return True

    def _send(
        self, method: str, path: str, body: bytes, headers: dict | None = None
    ) -> requests.Response | None:
        url = f"http://{self.owner.choose_balancer(self.source)}{path}"
        try:
            response = self.session.request(
                method, url, data=body, headers=headers, timeout=TIMEOUT_S
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
        threading.Event().wait(self.source.uniform(RETRY_MIN_S, RETRY_MAX_S))


def _read_name(location: str) -> str:
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
