"""Snapshots of the store's objects, which a starting balancer requests from peers.

A snapshot is used while the store does not answer; the first listing replaces it.
"""

import json
from collections.abc import Mapping
from concurrent.futures import Future
from typing import Any

from bramleystair.documents import DECODE_ERRORS, read_int, read_text
from bramleystair.http import HttpClient, HttpReply, HttpRequest, HttpResponse
from bramleystair.logs import get_logger
from bramleystair.loop import EventLoop
from bramleystair.mirror import Mirror, StoredItem

log = get_logger("snapshot")

SNAPSHOT_PATH = "/snapshot"
# The store normally answers within milliseconds; peers are asked only if it does not.
INITIAL_DELAY_S = 0.3
RETRY_DELAY_S = 0.3
TIMEOUT_S = 0.5
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
        call = client.call("GET", SNAPSHOT_PATH, timeout_s=TIMEOUT_S)
        call.add_done_callback(lambda done: self._handle_response(done, client))

    def _handle_response(self, call: Future, client: HttpClient) -> None:
        client.close()
        response = call.result()
        if isinstance(response, HttpResponse) and response.status == OK:
            try:
                snapshot = decode_snapshot(response.body)
            except DECODE_ERRORS as error:
                log.warning(
                    "malformed snapshot of peer %s ignored: %r",
                    client.endpoint[0],
                    error,
                )
            else:
                log.info("snapshot loaded", extra={"peer": client.endpoint[0]})
                for name, mirror in self._mirrors.items():
                    mirror.preload(snapshot.get(name, {}))
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


def decode_snapshot(data: bytes) -> dict[str, dict[str, StoredItem]]:
    """Return the items of each mirror by name.

    Raises one of `DECODE_ERRORS` if the document is malformed.
    """
    return {
        name: {item.name: item for item in map(_read_item, items)}
        for name, items in json.loads(data).items()
    }


def _read_item(document: Any) -> StoredItem:
    name, revision, value = document
    return StoredItem(read_text(name, "name"), read_int(revision, "revision"), value)
