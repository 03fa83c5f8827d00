"""Snapshots of the store's objects, which a starting balancer requests from peers.

A snapshot is used while the store does not answer; the first listing replaces it.
"""

import json
from collections.abc import Mapping
from concurrent.futures import Future
from typing import Any

from bramleystair.documents import (
    DECODE_ERRORS,
    BodyReader,
    Elements,
    Leaf,
    Row,
    load_part,
    read_int,
    read_text,
)
from bramleystair.http import HttpClient, HttpReply, HttpRequest, HttpResponse
from bramleystair.logs import get_logger
from bramleystair.loop import EventLoop
from bramleystair.mirror import Mirror, ObjectCollector, ObjectDecoder, StoredItem

log = get_logger("snapshot")

SNAPSHOT_PATH = "/snapshot"
# The store normally answers within milliseconds; peers are asked only if it does not.
INITIAL_DELAY_S = 0.3
RETRY_DELAY_S = 0.3
TIMEOUT_S = 0.5
# Longest texts of an object's name and of its revision.
MAX_NAME_BYTES = 8_192
MAX_REVISION_BYTES = 64
OK, UNAVAILABLE, NOT_FOUND = 200, 503, 404


class SnapshotServer:
    """Serve a snapshot of the mirrors to peers.

    Parameters
    ----------
    mirrors : mapping of str to Mirror
        Mirrors by name.
    """

    def __init__(self, mirrors: Mapping[str, Mirror]) -> None:
        self._mirrors = mirrors

    def answer(self, request: HttpRequest) -> HttpReply:
        """Return the snapshot, or status 503 while a mirror is incomplete."""
        if request.target != SNAPSHOT_PATH:
            return HttpReply(NOT_FOUND)
        if not all(mirror.is_complete for mirror in self._mirrors.values()):
            return HttpReply(UNAVAILABLE)
        return HttpReply(OK, encode_snapshot(self._mirrors))


class SnapshotClient:
    """Fill incomplete mirrors from the snapshot of a peer.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives connections and timers.
    peers : tuple of (str, int)
        Addresses of other balancers; some may be outdated or down.
    mirrors : mapping of str to Mirror
        Mirrors to fill, by name.
    """

    def __init__(
        self,
        loop: EventLoop,
        peers: tuple[tuple[str, int], ...],
        mirrors: Mapping[str, Mirror],
    ) -> None:
        self._loop = loop
        self.peers = peers
        self._mirrors = mirrors
        self._next_peer = 0

    def start(self) -> None:
        """Request a snapshot after a delay, unless the store answers first."""
        if self.peers:
            self._loop.timers.subscribe_once(
                INITIAL_DELAY_S, lambda _: self._request_snapshot()
            )

    def _request_snapshot(self) -> None:
        if not self.peers or all(m.is_complete for m in self._mirrors.values()):
            return
        peer = self.peers[self._next_peer % len(self.peers)]
        self._next_peer += 1
        client = HttpClient(self._loop, peer)
        reader = SnapshotReader(self._mirrors)
        call = client.call(
            "GET", SNAPSHOT_PATH, timeout_s=TIMEOUT_S, on_body=reader.feed
        )
        call.add_done_callback(lambda done: self._handle_response(done, client, reader))

    def _handle_response(
        self, call: Future, client: HttpClient, reader: "SnapshotReader"
    ) -> None:
        client.close()
        response = call.result()
        if isinstance(response, HttpResponse) and response.status == OK:
            try:
                snapshot = reader.finish()
            except DECODE_ERRORS as error:
                log.warning(
                    "malformed snapshot of peer %s ignored: %r",
                    client.endpoint[0],
                    error,
                )
            else:
                log.info("snapshot loaded", extra={"peer": client.endpoint[0]})
                for name, mirror in self._mirrors.items():
                    mirror.preload(snapshot[name])
                return
        self._loop.timers.subscribe_once(
            RETRY_DELAY_S, lambda _: self._request_snapshot()
        )


def encode_snapshot(mirrors: Mapping[str, Mirror]) -> bytes:
    """Return the items of the mirrors as a JSON document."""
    document: dict[str, Any] = {
        name: [[item.name, item.revision, item.value] for item in mirror.items.values()]
        for name, mirror in mirrors.items()
    }
    return json.dumps(document).encode()


class SnapshotReader:
    """Read the snapshot of a peer, which passes on what other writers have left.

    The same objects are kept, with the same limits, as of the store's responses.

    Parameters
    ----------
    mirrors : mapping of str to Mirror
        Mirrors to fill, by name.
    """

    def __init__(self, mirrors: Mapping[str, Mirror]) -> None:
        self._collectors = {
            name: ObjectCollector(ObjectDecoder(mirror.classes))
            for name, mirror in mirrors.items()
        }
        self._errors: list[Exception] = []
        self._body = BodyReader(
            {},
            {
                name: self._build_schema(collector)
                for name, collector in self._collectors.items()
            },
        )

    def feed(self, data: bytes) -> None:
        """Read the next piece; an error is raised by `finish`."""
        self._body.feed(data)

    def finish(self) -> dict[str, dict[str, StoredItem]]:
        """Return the items of each mirror by name.

        Raises one of `DECODE_ERRORS` if the document is malformed.
        """
        self._body.finish()
        if self._errors:
            raise self._errors[0]
        return {
            name: collector.take_items() for name, collector in self._collectors.items()
        }

    def _build_schema(self, collector: ObjectCollector) -> Elements:
        def add(row: Any) -> None:
            try:
                name, revision, part = row
                collector.add(
                    read_text(load_part(name), "name"),
                    read_int(load_part(revision), "revision"),
                    part,
                )
            except DECODE_ERRORS as error:
                # The first one is enough to refuse the snapshot.
                self._errors = self._errors or [error]

        content = Leaf(collector.decoder.max_text_bytes)
        row = Row((Leaf(MAX_NAME_BYTES), Leaf(MAX_REVISION_BYTES), content))
        return Elements(row, add)
