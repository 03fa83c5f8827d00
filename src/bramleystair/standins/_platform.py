"""Stand-in for the platform's object store, with injectable faults."""

import collections
import json
import random
import socket
import threading
import time
from collections.abc import Callable, Iterable

import attrs
from cheroot import wsgi
from werkzeug.wrappers import Request, Response

from bramleystair.store import EPOCH_HEADER
from bramleystair.undo_log import UndoLog

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 60.0
DEFAULT_LOG_LENGTH = 10_000
WORKERS = 64
CONNECTION_KEY = "bramleystair.connection"
# Longer than the timeouts of all clients.
WITHHELD_S = 60.0


@attrs.define
class Faults:
    """Faults that the stand-in injects until they are switched off.

    Parameters
    ----------
    outage : bool
        Close every connection without executing the call.
    delay_s : float
        Delay before each response in seconds.
    lose_answers : int
        Number of upcoming writes that are executed without a response.
    lose_rate, rubbish_rate : float
        Fraction of calls that are executed without a response, or whose response is
        invalid.
    withhold_watches : int
        Number of upcoming watches that get no response on a connection that stays open.
    rubbish : int
        Number of upcoming responses that are not JSON.
    rate_limit_per_s : float
        Calls allowed in each second; 0 for no limit.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_rate: float = 0.0
    withhold_watches: int = 0
    rubbish: int = 0
    rubbish_rate: float = 0.0
    rate_limit_per_s: float = 0.0


@attrs.define
class RequestError(Exception):
    """HTTP error response; `version` is the current version, 0 if there is none."""

    status: int
    reason: str
    version: int = 0


class PlatformStore:
    """Versioned objects with leases and a bounded log of changes.

    Parameters
    ----------
    log_length : int
        Number of changes kept for watches; an older cursor is rejected.
    now : callable
        Clock for leases, in seconds.
    """

    def __init__(
        self,
        *,
        log_length: int = DEFAULT_LOG_LENGTH,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._now = now
        self._lease_expiries: dict[str, float] = {}
        self._objects: dict[str, dict[str, object]] = {}
        self._versions: dict[str, int] = {}
        self._log: collections.deque[dict[str, object]] = collections.deque(
            maxlen=log_length
        )
        self._cursor = 0
        self.epoch = 0
        self._undo_log = UndoLog(log_length)
        self._changed = threading.Condition()

    def restore(self, age_s: float) -> None:
        """Return to the state of `age_s` seconds ago, as after a loss of data.

        Versions and cursors go back as well and are assigned again.
        """
        with self._changed:
            reverted = self._undo_log.revert(
                self._now() - age_s, self._objects, self._lease_expiries
            )
            for key, _ in reverted:
                self._versions[key] -= 1
                self._cursor -= 1
                self._log.pop()
            self.epoch += 1
            self._changed.notify_all()

    def list_objects(self, prefix: str) -> dict[str, object]:
        """Return the objects under `prefix` and the current cursor."""
        with self._changed:
            self._expire_leases()
            keys = sorted(key for key in self._objects if key.startswith(prefix))
            objects = [self._objects[key] for key in keys]
            return {"objects": objects, "cursor": self._cursor}

    def get_object(self, key: str) -> dict[str, object]:
        """Return object `key`."""
        with self._changed:
            self._expire_leases()
            if key not in self._objects:
                raise RequestError(404, "not found", self._versions.get(key, 0))
            return self._objects[key]

    def put_object(
        self, key: str, document: dict[str, object], if_match: int | None
    ) -> dict[str, object]:
        """Write an object and return its new version."""
        with self._changed:
            self._expire_leases()
            self._check_version(key, if_match)
            lease_s = document.pop("lease_s", 0)
            answer = self._write(key, document)
            self._lease_expiries.pop(key, None)
            if lease_s:
                self._lease_expiries[key] = self._now() + lease_s
            return answer

    def delete_object(self, key: str, if_match: int | None) -> dict[str, object]:
        """Delete an object and return the version of its tombstone."""
        with self._changed:
            if key not in self._objects:
                raise RequestError(404, "not found", self._versions.get(key, 0))
            self._check_version(key, if_match)
            return self._delete(key)

    def watch(self, prefix: str, since: int, timeout_s: float) -> dict[str, object]:
        """Return the changes under `prefix` after `since`; wait for the first one."""
        with self._changed:
            epoch = self.epoch
            self._changed.wait_for(
                lambda: epoch != self.epoch or self._list_changes(prefix, since),
                min(timeout_s, MAX_WATCH_S),
            )
            if epoch != self.epoch:
                raise RequestError(410, "cursor expired")
            changes = self._list_changes(prefix, since)
            return {"objects": changes, "cursor": self._cursor}

    def _expire_leases(self) -> None:
        now = self._now()
        for key in [
            key for key, expiry_s in self._lease_expiries.items() if expiry_s <= now
        ]:
            self._delete(key)

    def _delete(self, key: str) -> dict[str, object]:
        tombstone = {"body": "", "is_deleted": True, "epoch": self.epoch}
        answer = self._write(key, tombstone)
        del self._objects[key]
        self._lease_expiries.pop(key, None)
        return answer

    def _check_version(self, key: str, if_match: int | None) -> None:
        present = self._versions.get(key, 0) if key in self._objects else 0
        if if_match is not None and if_match != present:
            raise RequestError(409, "version differs", present)

    def _write(self, key: str, document: dict[str, object]) -> dict[str, object]:
        self._undo_log.record(self._now(), key, self._objects, self._lease_expiries)
        version = self._versions.get(key, 0) + 1
        self._versions[key] = version
        self._cursor += 1
        self._objects[key] = {**document, "key": key, "version": version}
        self._log.append(self._objects[key])
        self._changed.notify_all()
        return {"version": version}

    def _list_changes(self, prefix: str, since: int) -> list[dict[str, object]]:
        oldest = self._cursor - len(self._log)
        if not oldest <= since <= self._cursor:
            raise RequestError(410, "cursor expired")
        entries = list(self._log)[since - oldest :]
        return [entry for entry in entries if str(entry["key"]).startswith(prefix)]


class PlatformApplication:
    """WSGI application of the stand-in.

    Parameters
    ----------
    log_length : int
        Number of changes kept for watches.
    seed : int
        Seed of the faults injected at a rate.
    now, wait : callable
        Clock and sleep function, in seconds.

    Attributes
    ----------
    calls : Counter of str
        Number of calls by kind; a watch counts once, however long it waits.
    """

    def __init__(
        self,
        *,
        log_length: int = DEFAULT_LOG_LENGTH,
        seed: int = 0,
        now: Callable[[], float] = time.monotonic,
        wait: Callable[[float], None] = time.sleep,
    ) -> None:
        self.store = PlatformStore(log_length=log_length, now=now)
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(seed)
        self._now = now
        self._wait = wait
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._second = 0
        self._calls_in_second = 0

    def __call__(
        self, environ: dict[str, object], start_response: Callable
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        request = Request(environ)
        if request.path == "/control":
            return self._handle_control(request)(environ, start_response)
        response = self._handle_call(request)
        if response is None:
            _abort_connection(environ)
            response = Response(status=503)
        return response(environ, start_response)

    def close(self) -> None:
        """End the calls whose responses are withheld."""
        self._closing.set()

    def _handle_control(self, request: Request) -> Response:
        if request.method != "POST":
            return _build_response(
                {"faults": attrs.asdict(self.faults)} | self._count()
            )
        values = dict(request.get_json())
        if "restore_age_s" in values:
            self.store.restore(values.pop("restore_age_s"))
        try:
            self.faults = attrs.evolve(self.faults, **values)
        except TypeError as error:
            return _build_response({"reason": str(error)}, 400)
        return _build_response({"faults": attrs.asdict(self.faults)})

    def _count(self) -> dict[str, object]:
        return {"calls": dict(self.calls), "total": sum(self.calls.values())}

    def _handle_call(self, request: Request) -> Response | None:
        """Return the response, or None to close the connection without one."""
        kind = "watch" if request.path == "/watch" else request.method.lower()
        with self._lock:
            self.calls[kind] += 1
            is_limited = self._is_rate_limited()
        if self.faults.outage:
            return None
        if self.faults.delay_s:
            self._wait(self.faults.delay_s)
        if is_limited:
            return _build_response({"reason": "rate limit"}, 429, {"Retry-After": "1"})
        response = _handle_store_call(self.store, request)
        response.headers[EPOCH_HEADER] = str(self.store.epoch)
        if kind == "watch" and self._take_withheld_watch():
            self._closing.wait(WITHHELD_S)
            return None
        return self._apply_faults(request, response)

    def _take_withheld_watch(self) -> bool:
        with self._lock:
            if self.faults.withhold_watches <= 0:
                return False
            self.faults.withhold_watches -= 1
            return True

    def _is_rate_limited(self) -> bool:
        if not self.faults.rate_limit_per_s:
            return False
        second = int(self._now())
        if second != self._second:
            self._second, self._calls_in_second = second, 0
        self._calls_in_second += 1
        return self._calls_in_second > self.faults.rate_limit_per_s

    def _apply_faults(self, request: Request, response: Response) -> Response | None:
        """Return `response`, a corrupted response, or None to drop it."""
        faults = self.faults
        with self._lock:
            is_write = request.method in ("PUT", "DELETE")
            if is_write and faults.lose_answers > 0:
                faults.lose_answers -= 1
                return None
            if self._rng.random() < faults.lose_rate:
                return None
            if faults.rubbish > 0:
                faults.rubbish -= 1
                return Response("<html>not json", 200)
            if self._rng.random() < faults.rubbish_rate:
                return Response('{"version": "x"}', 200)
        return response


def create_platform_server(
    application: PlatformApplication, *, host: str, port: int
) -> wsgi.Server:
    """Return a server that is not yet started; port 0 selects a free port."""
    server = wsgi.Server((host, port), application, numthreads=WORKERS)
    server.gateway = _ConnectionGateway
    server.shutdown_timeout = 1
    return server


def run_platform(
    *,
    host: str = "127.0.0.1",
    port: int = 7000,
    log_length: int = DEFAULT_LOG_LENGTH,
    seed: int = 0,
) -> None:
    """Run the platform stand-in until interrupted.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port.
    log_length : int
        Number of changes kept for watches; an older cursor gets status 410.
    seed : int
        Seed of the faults injected at a rate.
    """
    application = PlatformApplication(log_length=log_length, seed=seed)
    server = create_platform_server(application, host=host, port=port)
    try:
        server.start()
    finally:
        server.stop()


class _ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that lets the application close its connection."""

    def get_environ(self) -> dict[str, object]:
        """Add the connection to the WSGI environment."""
        return {**super().get_environ(), CONNECTION_KEY: self.req.conn}


def _handle_store_call(store: PlatformStore, request: Request) -> Response:
    try:
        return _build_response(_call_store(store, request))
    except RequestError as error:
        answer = {"reason": error.reason, "version": error.version}
        return _build_response(answer, error.status)


def _call_store(store: PlatformStore, request: Request) -> dict[str, object]:
    query = request.args
    prefix = query.get("prefix", "")
    key = request.path.removeprefix("/objects/")
    match request.method, request.path:
        case "GET", "/objects":
            return store.list_objects(prefix)
        case "GET", "/watch":
            since = query.get("since", 0, type=int)
            return store.watch(prefix, since, query.get("timeout_s", 30.0, type=float))
        case "GET", path if path.startswith("/objects/"):
            return store.get_object(key)
        case "PUT", path if path.startswith("/objects/"):
            return store.put_object(key, _read_document(request), _read_match(request))
        case "DELETE", path if path.startswith("/objects/"):
            return store.delete_object(key, _read_match(request))
    raise RequestError(404, "no such call")


def _read_document(request: Request) -> dict[str, object]:
    if (request.content_length or 0) > MAX_VALUE_BYTES:
        raise RequestError(413, f"over {MAX_VALUE_BYTES} bytes")
    document = request.get_json(silent=True)
    if not isinstance(document, dict) or not isinstance(document.get("body"), str):
        raise RequestError(400, "the document is not an object with a body")
    return document


def _read_match(request: Request) -> int | None:
    text = request.headers.get("If-Match")
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise RequestError(400, "If-Match is not a version")
    return int(text)


def _build_response(
    answer: dict[str, object], status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    return Response(json.dumps(answer), status, headers, "application/json")


def _abort_connection(environ: dict[str, object]) -> None:
    connection = environ.get(CONNECTION_KEY)
    if connection is not None:
        connection.socket.shutdown(socket.SHUT_RDWR)
