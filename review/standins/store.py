"""The platform's store: objects, revisions and watches in memory.

Each machine reaches the store at an address of its own, so that faults can be limited
to some machines.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = "/bramleystair/objects/"
FIRST_REVISION = 100


class Store:
    """Objects by kind and name."""

    def __init__(self, record):
        self.record = record
        self._changed = threading.Condition()
        self._revision = FIRST_REVISION
        self._objects = {}
        self._history = []
        self._losing_until_s = {}
        self._servers = []

    def listen(self, address, machine):
        """Serve `machine` at `address`."""
        handler = type("Handler", (_Handler,), {"store": self, "machine": machine})
        server = _Server(address, handler)
        self._servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def close(self):
        """Stop to serve."""
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def lose_answers(self, machine, seconds):
        """Lose all answers to `machine` for some seconds.

        A connection on which an answer was lost returns nothing further.
        """
        self._losing_until_s[machine] = time.monotonic() + seconds

    def is_losing(self, machine):
        """Return whether an answer that is due now is lost."""
        return time.monotonic() < self._losing_until_s.get(machine, 0.0)

    def put(self, kind, name, spec):
        """Write an object as the operator, and return the time of the response."""
        with self._changed:
            self._write(kind, name, spec)
        return time.monotonic()

    def remove(self, kind, name):
        """Delete an object as the operator, and return the time of the response."""
        with self._changed:
            self._write(kind, name, None)
        return time.monotonic()

    def handle(self, method, target, body):
        """Return status and document of the response to a call."""
        parts = urlsplit(target)
        path, query = parts.path.removeprefix(PREFIX), parse_qs(parts.query)
        kind, _, name = (unquote(part) for part in path.partition("/"))
        if method == "GET" and "Watch" in query:
            wait_s = int(query.get("WaitMs", ["0"])[0]) / 1000
            return self._watch(kind, int(query["Watch"][0]), min(wait_s, 30.0))
        with self._changed:
            objects = self._objects.setdefault(kind, {})
            if method == "GET" and not name:
                items = sorted(objects.values(), key=lambda o: o["meta"]["Name"])
                after = query.get("after", [""])[0]
                items = [o for o in items if o["meta"]["Name"] > after]
                document = {"items": items[:500], "HasMore": len(items) > 500}
                return 200, document | {"At": self._revision}
            if method == "GET":
                return (200, objects[name]) if name in objects else (404, {})
            meta = body.get("meta", {}) if body else {}
            rev = meta.get("Rev") or int(query.get("Rev", ["0"])[0]) or None
            if method == "POST":
                name = meta["Name"]
                if name in objects:
                    return 409, objects[name]
                return 201, self._write(kind, name, body.get("spec"))
            if name not in objects:
                return 404, {}
            if rev is not None and objects[name]["meta"]["Rev"] != rev:
                return 409, objects[name]
            if method == "DELETE":
                self._write(kind, name, None)
                return 200, {}
            if objects[name]["spec"] == body.get("spec"):
                return 200, objects[name]
            return 200, self._write(kind, name, body.get("spec"))

    def _write(self, kind, name, spec):
        objects = self._objects.setdefault(kind, {})
        self._revision += 1
        previous = objects.get(name)
        created = previous["meta"]["CreateRev"] if previous else self._revision
        meta = {"Name": name, "Rev": self._revision, "CreateRev": created}
        meta |= {"Finalizers": [], "DeleteMarked": False}
        is_deleted = spec is None
        if is_deleted:
            spec = previous["spec"] if previous else {}
        item = {"meta": meta, "spec": spec, "status": {}}
        if is_deleted:
            objects.pop(name, None)
        else:
            objects[name] = item
        self._history.append((self._revision, kind, item, is_deleted))
        self._changed.notify_all()
        return item

    def _watch(self, kind, revision, wait_s):
        deadline_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                events = [
                    {"Object": item, "Deleted": is_deleted}
                    for rev, event_kind, item, is_deleted in self._history
                    if event_kind == kind and rev > revision
                ]
                left_s = deadline_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "At": self._revision}
                self._changed.wait(left_s)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store: Store
    machine: str
    has_lost_answer = False

    def _handle(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        status, document = self.store.handle(self.command, self.path, body)
        if self.has_lost_answer or self.store.is_losing(self.machine):
            if not self.has_lost_answer:
                self.store.record(
                    "answer_lost", machine=self.machine, call=self.path.split("&")[0]
                )
            self.has_lost_answer = True
            return
        data = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

    def log_message(self, *_):
        """Suppress the log line of each request."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore broken connections."""
