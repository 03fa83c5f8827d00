"""The platform's metadata store: objects, revisions and watches in memory."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from http11 import Reply, serve

OBJECTS = "/bramleystair/objects/"
PAGE_BYTES = 1_000_000
PAGE_ITEMS = 500


class Store:
    """Objects by kind and name, served at one address per machine.

    All machines are served the same objects. An address of its own for each lets the
    store turn single machines away.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict]] = []
        # Machines that the store turns away, and with which status.
        self.rejected: dict[str, int] = {}
        self.calls = 0
        # Set and replaced at each change.
        self._changed = asyncio.Event()

    async def serve(self, machine: str, host: str, port: int) -> None:
        """Serve one machine."""

        async def handle(method: str, target: str, body: bytes) -> Reply:
            self.calls += 1
            if machine not in self.rejected:
                status, document = await self._handle(method, target, body)
            # A watch that was waiting is turned away as well.
            if machine in self.rejected:
                return self.rejected[machine], b"{}"
            return status, json.dumps(document, separators=(",", ":")).encode()

        await serve(host, port, handle)

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write as the operator does; None deletes. Return the revision."""
        known = self.objects.get(kind, {}).get(name)
        if spec is None:
            await self._apply(kind, name, None)
        elif known is None or known["spec"] != spec:
            await self._apply(kind, name, spec)
        return self.revision

    async def _handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        parts = urlsplit(target)
        kind, _, name = parts.path.removeprefix(OBJECTS).partition("/")
        kind, name = unquote(kind), unquote(name)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "Watch" in query:
            wait_s = int(query.get("WaitMs", "0")) / 1000
            return await self._watch(kind, int(query["Watch"]), wait_s)
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET":
            return 200, self._list(objects, query.get("after", ""))
        document = json.loads(body) if body else {}
        if method == "POST":
            name = document["meta"]["Name"]
            if name in objects:
                return 409, objects[name]
            return 200, await self._apply(kind, name, document.get("spec"))
        known = objects.get(name)
        if known is None:
            return 404, {}
        expected = document.get("meta", {}).get("Rev", query.get("Rev"))
        if expected is not None and int(expected) != known["meta"]["Rev"]:
            return 409, known
        if method == "DELETE":
            await self._apply(kind, name, None)
            return 200, {}
        if document.get("spec") == known["spec"]:
            return 200, known
        return 200, await self._apply(kind, name, document.get("spec"))

    def _list(self, objects: dict[str, dict], after: str) -> dict[str, Any]:
        items, size = [], 0
        names = [name for name in sorted(objects) if name > after]
        for name in names:
            size += len(json.dumps(objects[name]))
            if items and (size > PAGE_BYTES or len(items) >= PAGE_ITEMS):
                break
            items.append(objects[name])
        has_more = len(items) < len(names)
        return {"items": items, "HasMore": has_more, "At": self.revision}

    async def _apply(self, kind: str, name: str, spec: Any) -> dict:
        self.revision += 1
        objects = self.objects.setdefault(kind, {})
        known = objects.get(name)
        created = self.revision if known is None else known["meta"]["CreateRev"]
        meta = {"Name": name, "Rev": self.revision, "CreateRev": created}
        item = {"meta": meta, "spec": spec, "status": None}
        if spec is None:
            objects.pop(name, None)
            item["spec"] = known["spec"] if known else None
        else:
            objects[name] = item
        event = {"Deleted": spec is None, "Object": item}
        self.history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()
        return item

    async def _watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, Any]:
        if revision > self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            changed = self._changed
            events = [e for r, k, e in self.history if k == kind and r > revision]
            remaining_s = deadline_s - loop.time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "At": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue
