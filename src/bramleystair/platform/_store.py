"""Client of the platform's metadata store."""

import json
import math
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from typing import Any

from bramleystair.documents import DECODE_ERRORS, BodyReader
from bramleystair.http import HttpClient, HttpFailure, HttpResponse, TimeBudget
from bramleystair.loop import EventLoop
from bramleystair.mirror import (
    ANY_OBJECT,
    Changes,
    FailureKind,
    Listing,
    ObjectClass,
    ObjectCollector,
    ObjectDecoder,
    StoredItem,
    StoreEpoch,
    StoreFailure,
)
from bramleystair.platform._responses import (
    build_changes,
    build_changes_reader,
    build_listing,
    build_listing_reader,
    build_object,
    build_object_reader,
)

OBJECTS_PATH = "/bramleystair/objects/"
# A call normally takes 4 ms; while the store is slow it may take a few hundred times as
# long.
CALL_TIMEOUT_S = 1.5
# The store keeps its history for 20 s: a longer watch without a change would end in a
# new listing. Shorter watches cost more calls.
WATCH_WAIT_S = 18.0
WATCH_MARGIN_S = 2.0
# Rises by one each time that the store returns from an older copy.
EPOCH_HEADER = b"store-era"
MAX_EPOCH_DIGITS = 18
# Share of the time in which long responses may be read, and how long they may be read
# at once: other writers decide how much there is to read.
READ_SHARE = 0.25
READ_BURST_S = 1.0
_KINDS_BY_STATUS = {
    404: FailureKind.NOT_FOUND,
    409: FailureKind.CONFLICT,
    410: FailureKind.HISTORY_LOST,
    429: FailureKind.BUSY,
    503: FailureKind.BUSY,
}


class PlatformStore:
    """Store client that implements `ObjectStore`.

    Parameters
    ----------
    loop : EventLoop
        Event loop that drives the connections.
    address : tuple of str and int
        Address of the store.
    classes : mapping of str to tuple of ObjectClass
        Classes of the objects that the node uses, by kind.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        classes: Mapping[str, tuple[ObjectClass, ...]],
    ) -> None:
        self._loop = loop
        self._budget = TimeBudget(loop.clock, READ_SHARE, READ_BURST_S)
        self._client = HttpClient(loop, address, self._budget)
        self._decoders = {
            kind: ObjectDecoder(kind_classes) for kind, kind_classes in classes.items()
        }
        self.epoch = StoreEpoch()

    def set_address(self, address: tuple[str, int]) -> None:
        """Send further calls to another address."""
        self._client.close()
        self._client = HttpClient(self._loop, address, self._budget)
        self.epoch.forget()

    def list_items(self, kind: str, after: str) -> Future:
        """Request the page after the name `after`; Listing or StoreFailure."""
        query = f"?after={_quote(after)}" if after else ""
        collector = ObjectCollector(self._find_decoder(kind))

        def build(fields: dict[str, Any]) -> Listing:
            return build_listing(collector, fields)

        return self._call("GET", kind, query, build_listing_reader(collector), build)

    def watch(
        self, kind: str, revision: int, wait_s: float | None, allow_stale: bool
    ) -> Future:
        """Wait for changes after `revision` or the end of the wait.

        The result is Changes or StoreFailure.
        """
        if wait_s is None:
            wait_s, timeout_s = WATCH_WAIT_S, WATCH_WAIT_S + WATCH_MARGIN_S
        else:
            timeout_s = wait_s + CALL_TIMEOUT_S
        query = f"?Watch={revision}&WaitMs={math.ceil(wait_s * 1000)}"
        if allow_stale:
            query += "&StaleRead=1"
        collector = ObjectCollector(self._find_decoder(kind))

        def build(fields: dict[str, Any]) -> Changes | StoreFailure:
            changes = build_changes(collector, fields)
            if not collector.is_overfull:
                return changes
            detail = "more changes than the node may keep"
            return StoreFailure("watch", "store", detail, FailureKind.HISTORY_LOST)

        reader = build_changes_reader(collector)
        return self._call("GET", kind, query, reader, build, timeout_s=timeout_s)

    def read(self, kind: str, name: str) -> Future:
        """Read an object, possibly as of seconds ago; StoredItem or StoreFailure."""
        return self._call("GET", kind, f"/{_quote(name)}?StaleRead=1")

    def create(self, kind: str, name: str, value: Any) -> Future:
        """Create an object; StoredItem or StoreFailure."""
        body = _build_body(name, value, None)
        return self._call("POST", kind, body=body)

    def replace(self, kind: str, name: str, value: Any, revision: int) -> Future:
        """Replace an object of the given revision; StoredItem or StoreFailure."""
        body = _build_body(name, value, revision)
        return self._call("PUT", kind, f"/{_quote(name)}", body=body)

    def delete(self, kind: str, name: str, revision: int) -> Future:
        """Delete an object of the given revision; None or StoreFailure."""
        query = f"/{_quote(name)}?Rev={revision}"
        return self._call("DELETE", kind, query, build=lambda fields: None)

    def _find_decoder(self, kind: str) -> ObjectDecoder:
        return self._decoders.get(kind) or ObjectDecoder(ANY_OBJECT)

    def _call(
        self,
        method: str,
        kind: str,
        rest: str = "",
        reader: BodyReader | None = None,
        build: Callable[[dict[str, Any]], Any] | None = None,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Future:
        """Make a call whose response is a single object unless a reader is given.

        Parameters
        ----------
        rest : str
            Rest of the target after the kind.
        build : callable, optional
            Returns the result of the call from the fields of a response without error;
            the object by default.
        """
        result: Future = Future()
        target = kind + rest
        step = f"{method} {target}"
        client = self._client
        decoder = self._find_decoder(kind)
        if reader is None:
            reader = build_object_reader(decoder)

        def build_single(fields: dict[str, Any]) -> StoredItem:
            return build_object(decoder, fields)

        def complete(done: Future) -> None:
            response = done.result()
            if isinstance(response, HttpResponse) and not (
                client is self._client and self._is_current(response)
            ):
                detail = "response of an earlier epoch or address of the store"
                failure = StoreFailure(step, "store", detail, FailureKind.OUTDATED)
                result.set_result(failure)
                return
            parsed = _parse_response(
                step, response, reader, build or build_single, build_single
            )
            result.set_result(parsed)

        call = client.call(
            method, OBJECTS_PATH + target, body, timeout_s, on_body=reader.feed
        )
        call.add_done_callback(complete)
        return result

    def _is_current(self, response: HttpResponse) -> bool:
        """Record the epoch of a response and return whether it is the latest one."""
        text = response.headers.get(EPOCH_HEADER, b"")
        is_number = text.isdigit() and len(text) <= MAX_EPOCH_DIGITS
        return not is_number or self.epoch.record(int(text))


def _quote(name: str) -> str:
    # Imported on demand: the first calls of a node name no object in their path, and
    # callers wait for them after a loss of power.
    from urllib.parse import quote

    return quote(name)


def _build_body(name: str, value: Any, revision: int | None) -> bytes:
    meta: dict[str, Any] = {"Name": name}
    if revision is not None:
        meta["Rev"] = revision
    return json.dumps({"meta": meta, "spec": value}).encode()


def _parse_response(
    step: str,
    response: HttpResponse | HttpFailure,
    reader: BodyReader,
    build: Callable[[dict[str, Any]], Any],
    build_present: Callable[[dict[str, Any]], StoredItem],
) -> Any:
    if isinstance(response, HttpFailure):
        return StoreFailure(step, "store", response.detail)
    if response.status in (200, 201, 204):
        try:
            return build(reader.finish() if reader.size else {})
        except DECODE_ERRORS as error:
            detail = f"malformed response: {error!r}"
            return StoreFailure(step, "store", detail, FailureKind.MALFORMED)
    kind = _KINDS_BY_STATUS.get(response.status, FailureKind.UNREACHABLE)
    detail = f"status {response.status}"
    if kind is not FailureKind.CONFLICT:
        return StoreFailure(step, "store", detail, kind)
    try:
        present = build_present(reader.finish())
    except DECODE_ERRORS as error:
        detail += f" without the stored object: {error!r}"
        return StoreFailure(step, "store", detail, FailureKind.MALFORMED)
    return StoreFailure(step, "store", detail, kind, present)
