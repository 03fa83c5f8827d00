"""Stand-in of the platform's store: objects, revisions and watches in memory."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from bramleystair.platform._store import OBJECTS_PATH


class Objects:
    """Objects by kind and name, with the history of their changes."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, str, bool, dict[str, Any]]] = []

    def write(
        self, kind: str, name: str, spec: Any, revision: int | None, is_new: bool
    ) -> tuple[int, Any]:
        """Create, replace or, with a spec of None, delete an object."""
        with self.changed:
            items = self.items.setdefault(kind, {})
            known = items.get(name)
            if is_new and known is not None:
                return 409, known
            if not is_new and known is None:
                return 404, {}
            if revision is not None and known["meta"]["Rev"] != revision:
                return 409, known
            self.revision += 1
            item = {"meta": {"Name": name, "Rev": self.revision}, "spec": spec}
            is_deleted = spec is None
            if is_deleted:
                del items[name]
            else:
                items[name] = item
            self.history.append((self.revision, kind, is_deleted, item))
            self.changed.notify_all()
            return 200, item

    def watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, Any]:
        """Return the changes after `revision`, waiting for one."""
        end = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [
                    {"Deleted": is_deleted, "Object": item}
                    for number, of_kind, is_deleted, item in self.history
                    if of_kind == kind and number > revision
                ]
                left_s = end - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "At": self.revision}
                self.changed.wait(left_s)

    def list_kind(self, kind: str) -> tuple[int, Any]:
        """Return all objects of a kind."""
        with self.changed:
            items = list(self.items.get(kind, {}).values())
            return 200, {"items": items, "HasMore": False, "At": self.revision}


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    objects: Objects

    def do_GET(self) -> None:  # noqa: N802
        """List or watch."""
        kind, _, query = self._split()
        if "Watch" in query:
            wait_s = int(query["WaitMs"][0]) / 1000
            self._answer(*self.objects.watch(kind, int(query["Watch"][0]), wait_s))
        else:
            self._answer(*self.objects.list_kind(kind))

    def do_POST(self) -> None:  # noqa: N802
        """Create."""
        kind, _, _ = self._split()
        body = self._read()
        name = body["meta"]["Name"]
        self._answer(*self.objects.write(kind, name, body["spec"], None, True))

    def do_PUT(self) -> None:  # noqa: N802
        """Replace."""
        kind, name, _ = self._split()
        body = self._read()
        revision = body["meta"].get("Rev")
        self._answer(*self.objects.write(kind, name, body["spec"], revision, False))

    def do_DELETE(self) -> None:  # noqa: N802
        """Delete."""
        kind, name, query = self._split()
        revision = int(query["Rev"][0]) if "Rev" in query else None
        self._answer(*self.objects.write(kind, name, None, revision, False))

    def log_message(self, *_: object) -> None:
        """Write no line for each call."""

    def _split(self) -> tuple[str, str, dict[str, list[str]]]:
        parts = urlsplit(self.path)
        kind, _, name = parts.path.removeprefix(OBJECTS_PATH).partition("/")
        return unquote(kind), unquote(name), parse_qs(parts.query)

    def _read(self) -> Any:
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

    def _answer(self, status: int, document: Any) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore callers that left; nodes are killed on purpose."""


def run_store(host: str, port: int) -> None:
    """Serve until the process ends."""
    _Handler.objects = Objects()
    _Server((host, port), _Handler).serve_forever()
