"""Copies of the store's objects that balancers give to a balancer that starts.

They are used while the store does not answer; the first listing replaces them.
"""

import json
from collections.abc import Mapping
from concurrent.futures import Future
from typing import Any

from bramleystair.http import HttpClient, HttpReply, HttpRequest, HttpResponse
from bramleystair.logs import get_logger
from bramleystair.loop import EventLoop
from bramleystair.mirror import Mirror, StoredItem

log = get_logger("snapshot")

PATH = "/snapshot"
# The store answers in milliseconds, so peers are asked only when it does not.
FIRST_DELAY_S = 0.3
RETRY_DELAY_S = 0.3
TIMEOUT_S = 0.5
OK, UNAVAILABLE, NOT_FOUND = 200, 503, 404


class SnapshotServer:
    """Give the copies to peers that ask.

    Parameters
    ----------
    mirrors : mapping of str to Mirror
        Copies by name.
    """

    def __init__(self, mirrors: Mapping[str, Mirror]) -> None:
        self._mirrors = mirrors

    def answer(self, request: HttpRequest) -> HttpReply:
        """Return all copies, or a refusal while one is incomplete."""
        if request.target != PATH:
            return HttpReply(NOT_FOUND)
        if not all(mirror.is_complete for mirror in self._mirrors.values()):
            return HttpReply(UNAVAILABLE)
        return HttpReply(OK, encode_snapshot(self._mirrors))


class SnapshotClient:
    """Fill incomplete copies from a peer.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives connections and timers.
    peers : tuple of (str, int)
        Addresses of balancers, some of which may be stale or down.
    mirrors : mapping of str to Mirror
        Copies to fill.
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
        self._next = 0

    def start(self) -> None:
        """Ask peers unless the store answers first."""
        if self.peers:
            self._loop.timers.subscribe_once(FIRST_DELAY_S, lambda _: self._ask())

    def _ask(self) -> None:
        if not self.peers or all(m.is_complete for m in self._mirrors.values()):
            return
        peer = self.peers[self._next % len(self.peers)]
        self._next += 1
        client = HttpClient(self._loop, peer)
        call = client.call("GET", PATH, timeout_s=TIMEOUT_S)
        call.add_done_callback(lambda done: self._take(done, client))

    def _take(self, call: Future, client: HttpClient) -> None:
        client.close()
        response = call.result()
        if isinstance(response, HttpResponse) and response.status == OK:
            try:
                copies = decode_snapshot(response.body)
            except (KeyError, TypeError, ValueError) as error:
                log.warning("snapshot of %s ignored: %r", client.endpoint[0], error)
            else:
                log.info("snapshot", extra={"peer": client.endpoint[0]})
                for name, mirror in self._mirrors.items():
                    mirror.preload(copies.get(name, {}))
                return
        self._loop.timers.subscribe_once(RETRY_DELAY_S, lambda _: self._ask())


def encode_snapshot(mirrors: Mapping[str, Mirror]) -> bytes:
    """Return the copies as a JSON document."""
    document: dict[str, Any] = {
        name: [[item.name, item.revision, item.value] for item in mirror.items.values()]
        for name, mirror in mirrors.items()
    }
    return json.dumps(document).encode()


def decode_snapshot(data: bytes) -> dict[str, dict[str, StoredItem]]:
    """Return the copies by name; raises KeyError, TypeError or ValueError."""
    return {
        name: {item[0]: StoredItem(item[0], int(item[1]), item[2]) for item in items}
        for name, items in json.loads(data).items()
    }
