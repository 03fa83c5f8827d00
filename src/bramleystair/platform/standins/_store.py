"""Stand-in for the platform's store: objects, revisions and watches in memory."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from bramleystair.platform._store import OBJECTS_PATH


class ObjectTable:
    """Objects by kind and name, with the history of changes."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, str, bool, dict[str, Any]]] = []

    def write(
        self, kind: str, name: str, spec: Any, revision: int | None, is_new: bool
    ) -> tuple[int, Any]:
        """Create or replace an object; delete it if `spec` is None."""
        with self.changed:
            items = self.items.setdefault(kind, {})
            current = items.get(name)
            if is_new and current is not None:
                return 409, current
            if not is_new and current is None:
                return 404, {}
            if revision is not None and current["meta"]["Rev"] != revision:
                return 409, current
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
        """Return the changes after `revision`; wait for one if there is none."""
        deadline_s = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [
                    {"Deleted": is_deleted, "Object": item}
                    for number, event_kind, is_deleted, item in self.history
                    if event_kind == kind and number > revision
                ]
                remaining_s = deadline_s - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "At": self.revision}
                self.changed.wait(remaining_s)

    def list_items(self, kind: str) -> tuple[int, Any]:
        """Return all objects of a kind."""
        with self.changed:
            items = list(self.items.get(kind, {}).values())
            return 200, {"items": items, "HasMore": False, "At": self.revision}


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    objects: ObjectTable

    def do_GET(self) -> None:  # noqa: N802
        """List or watch the objects of a kind."""
        kind, _, query = self._parse_target()
        if "Watch" in query:
            wait_s = int(query["WaitMs"][0]) / 1000
            self._send_json(*self.objects.watch(kind, int(query["Watch"][0]), wait_s))
        else:
            self._send_json(*self.objects.list_items(kind))

    def do_POST(self) -> None:  # noqa: N802
        """Create an object."""
        kind, _, _ = self._parse_target()
        body = self._read_body()
        name = body["meta"]["Name"]
        self._send_json(*self.objects.write(kind, name, body["spec"], None, True))

    def do_PUT(self) -> None:  # noqa: N802
        """Replace an object."""
        kind, name, _ = self._parse_target()
        body = self._read_body()
        revision = body["meta"].get("Rev")
        self._send_json(*self.objects.write(kind, name, body["spec"], revision, False))

    def do_DELETE(self) -> None:  # noqa: N802
        """Delete an object."""
        kind, name, query = self._parse_target()
        revision = int(query["Rev"][0]) if "Rev" in query else None
        self._send_json(*self.objects.write(kind, name, None, revision, False))

    def log_message(self, *_: object) -> None:
        """Suppress the log line of each request."""

    def _parse_target(self) -> tuple[str, str, dict[str, list[str]]]:
        parts = urlsplit(self.path)
        kind, _, name = parts.path.removeprefix(OBJECTS_PATH).partition("/")
        return unquote(kind), unquote(name), parse_qs(parts.query)

    def _read_body(self) -> Any:
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

    def _send_json(self, status: int, document: Any) -> None:
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore broken connections: the soak test kills nodes on purpose."""


def run_store(host: str, port: int) -> None:
    """Serve until the process is killed."""
    _Handler.objects = ObjectTable()
    _Server((host, port), _Handler).serve_forever()
