"""Client of the platform's metadata store."""

import json
import math
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from bramleystair.documents import (
    DECODE_ERRORS,
    is_too_deep,
    load_document,
    read_int,
    read_text,
)
from bramleystair.errors import StepError
from bramleystair.http import HttpClient, HttpFailure, HttpResponse
from bramleystair.loop import EventLoop
from bramleystair.mirror import (
    Changes,
    FailureKind,
    Listing,
    StoredItem,
    StoreEpoch,
    StoreFailure,
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
# Levels of nesting above the content of an object in a list, and in the changes.
DOCUMENT_LEVELS = 4
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
    """

    def __init__(self, loop: EventLoop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._client = HttpClient(loop, address)
        self.epoch = StoreEpoch()

    def set_address(self, address: tuple[str, int]) -> None:
        """Send further calls to another address."""
        self._client.close()
        self._client = HttpClient(self._loop, address)
        self.epoch.forget()

    def list_items(self, kind: str, after: str) -> Future:
        """Request the page after the name `after`; Listing or StoreFailure."""
        query = f"?after={_quote(after)}" if after else ""
        return self._call("GET", kind + query, _parse_listing)

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
        target = f"{kind}?Watch={revision}&WaitMs={math.ceil(wait_s * 1000)}"
        if allow_stale:
            target += "&StaleRead=1"
        return self._call("GET", target, _parse_changes, timeout_s=timeout_s)

    def read(self, kind: str, name: str) -> Future:
        """Read an object, possibly as of seconds ago; StoredItem or StoreFailure."""
        return self._call("GET", f"{kind}/{_quote(name)}?StaleRead=1", _parse_item)

    def create(self, kind: str, name: str, value: Any) -> Future:
        """Create an object; StoredItem or StoreFailure."""
        body = _build_body(name, value, None)
        return self._call("POST", kind, _parse_item, body)

    def replace(self, kind: str, name: str, value: Any, revision: int) -> Future:
        """Replace an object of the given revision; StoredItem or StoreFailure."""
        body = _build_body(name, value, revision)
        return self._call("PUT", f"{kind}/{_quote(name)}", _parse_item, body)

    def delete(self, kind: str, name: str, revision: int) -> Future:
        """Delete an object of the given revision; None or StoreFailure."""
        target = f"{kind}/{_quote(name)}?Rev={revision}"
        return self._call("DELETE", target, lambda document: None)

    def _call(
        self,
        method: str,
        target: str,
        parse: Callable[[Any], Any],
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Future:
        result: Future = Future()
        step = f"{method} {target}"
        client = self._client

        def complete(done: Future) -> None:
            response = done.result()
            if isinstance(response, HttpResponse) and not (
                client is self._client and self._is_current(response)
            ):
                detail = "response of an earlier epoch or address of the store"
                failure = StoreFailure(step, "store", detail, FailureKind.OUTDATED)
                result.set_result(failure)
                return
            result.set_result(_parse_response(step, response, parse))

        call = client.call(method, OBJECTS_PATH + target, body, timeout_s)
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
    step: str, response: HttpResponse | HttpFailure, parse: Callable[[Any], Any]
) -> Any:
    if isinstance(response, HttpFailure):
        return StoreFailure(step, "store", response.detail)
    if response.status in (200, 201, 204):
        try:
            return parse(_load_body(response))
        except DECODE_ERRORS as error:
            detail = f"malformed response: {error!r}"
            return StoreFailure(step, "store", detail, FailureKind.MALFORMED)
    kind = _KINDS_BY_STATUS.get(response.status, FailureKind.UNREACHABLE)
    detail = f"status {response.status}"
    if kind is not FailureKind.CONFLICT:
        return StoreFailure(step, "store", detail, kind)
    try:
        present = _parse_item(_load_body(response))
    except DECODE_ERRORS as error:
        detail += f" without the stored object: {error!r}"
        return StoreFailure(step, "store", detail, FailureKind.MALFORMED)
    return StoreFailure(step, "store", detail, kind, present)


def _load_body(response: HttpResponse) -> Any:
    """Return the parsed body, with None for the parts that cannot be read.

    Content that cannot be read fails the checks of whoever decodes it.
    """
    return load_document(response.body or b"null", DOCUMENT_LEVELS).value


def _parse_item(document: Any) -> StoredItem:
    meta, value = document["meta"], document.get("spec")
    return StoredItem(
        read_text(meta["Name"], "Name"),
        read_int(meta["Rev"], "Rev"),
        None if is_too_deep(value) else value,
    )


def _parse_event(document: Any) -> tuple[StoredItem, bool]:
    return _parse_item(document["Object"]), bool(document.get("Deleted"))


def _parse_each(
    documents: Any, parse: Callable[[Any], Any]
) -> tuple[tuple, tuple[StepError, ...]]:
    """Return the parsed documents, and an error for each that cannot be parsed."""
    parsed, errors = [], []
    for document in documents:
        try:
            parsed.append(parse(document))
        except DECODE_ERRORS as error:
            errors.append(StepError("read object", "store", repr(error)))
    return tuple(parsed), tuple(errors)


def _parse_listing(document: Any) -> Listing:
    items, errors = _parse_each(document["items"], _parse_item)
    revision = read_int(document["At"], "At")
    return Listing(items, revision, bool(document.get("HasMore")), errors)


def _parse_changes(document: Any) -> Changes:
    events, errors = _parse_each(document["events"], _parse_event)
    return Changes(events, read_int(document["At"], "At"), errors)
