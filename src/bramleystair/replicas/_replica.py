"""Base class of the replicas of balancers and agents."""

import abc
from collections.abc import Iterable
from random import Random

import attrs

from bramleystair.actions import Count, Send
from bramleystair.replicas._batches import (
    MAX_OBJECT_BYTES,
    measure_key,
    measure_object,
    split_batches,
)
from bramleystair.replicas._events import (
    Peer,
    ReplicaAction,
    ReplicaSettings,
    ViewUpdated,
)
from bramleystair.replicas._owner import Owner
from bramleystair.replicas._store import ObjectStore
from bramleystair.tables import AgentAnnouncement, BalancerAnnouncement
from bramleystair.views import View
from bramleystair.wire import Objects, Pull, StoredObject, VersionHeader

# A pull without a response within this time is repeated, at another peer if several
# peers announced the version.
PULL_TIMEOUT_S = 0.4
PULL_ATTEMPTS = 4
# Maximum number of outstanding pulls. The bodies of as many agent announcements fill
# half of a socket receive buffer of the usual size.
PULL_WINDOW = 256


@attrs.define
class PendingPull:
    """A version that is to be pulled and has not arrived yet.

    Parameters
    ----------
    version : int
        Version that the peers announced.
    deadline : float
        Time in seconds at which the pull is repeated; 0 before the first attempt.
    peers : list of str
        Peers that announced the version, in the order in which to pull from them.
    attempts : int
        Number of attempts made.
    """

    version: int
    deadline: float
    peers: list[str]
    attempts: int = 0

    def start_attempt(self, now: float) -> str:
        """Record an attempt at `now` seconds and return the peer to pull from."""
        peer = self.peers.pop(0)
        self.peers.append(peer)
        self.attempts += 1
        self.deadline = now + PULL_TIMEOUT_S
        return peer


class Replica(abc.ABC):
    """Object store, own objects and outstanding pulls of one process.

    Parameters
    ----------
    name : str
        Name of the node or backend server.
    announcement : AgentAnnouncement or BalancerAnnouncement
        Initial announcement of the process.
    seeds : tuple of Peer
        Nodes whose addresses are known without an announcement.
    settings : ReplicaSettings
        Address, periods and size limits.
    random : Random
        Source of all random choices.
    """

    def __init__(
        self,
        name: str,
        announcement: AgentAnnouncement | BalancerAnnouncement,
        seeds: tuple[Peer, ...],
        settings: ReplicaSettings,
        random: Random,
    ) -> None:
        self.name = name
        self.store = ObjectStore()
        self.owner = Owner(announcement, name, self.store, settings, random)
        self._seeds = {seed.name: seed for seed in seeds if seed.name != name}
        self._settings = settings
        self._random = random
        # Outstanding pulls by key, and pulls waiting for a place in the window.
        self._pulls: dict[str, PendingPull] = {}
        self._queue: dict[str, PendingPull] = {}
        self._emitted_generation = 0

    @property
    def view(self) -> View:
        """Return the view of all stored objects."""
        return self.store.build_view()

    def resolve(self, peer: str) -> tuple[str, int] | None:
        """Return the host and port of `peer`, or None if they are unknown.

        Daemons reply to a sender without an announcement at the source address of its
        message.
        """
        known = self.store.find_member(peer) or self._seeds.get(peer)
        return None if known is None else (known.host, known.port)

    def _emit_view(self) -> list[ReplicaAction]:
        if self.store.generation == self._emitted_generation:
            return []
        self._emitted_generation = self.store.generation
        return [ViewUpdated(self.view)]

    def _put(self, item: StoredObject) -> tuple[bool, list[ReplicaAction]]:
        result = self.store.put(item)
        if result.is_err():
            return False, [Count("objects_refused", "malformed")]
        return result.ok(), []

    def _request_newer(
        self,
        sender: str,
        headers: Iterable[VersionHeader],
        now: float,
    ) -> list[ReplicaAction]:
        """Pull from `sender` the versions newer than those stored or requested."""
        for header in headers:
            if not self.owner.owns(header.key) and self._is_wanted(sender, header):
                self._pulls.pop(header.key, None)
                self._queue[header.key] = PendingPull(header.version, 0.0, [sender])
        return self._continue_pulls(now)

    def _is_wanted(self, sender: str, header: VersionHeader) -> bool:
        if header.version <= self.store.get_version(header.key):
            return False
        pending = self._pulls.get(header.key) or self._queue.get(header.key)
        if pending is None or header.version > pending.version:
            return True
        if sender not in pending.peers:
            pending.peers.insert(0, sender)
        return False

    def _continue_pulls(self, now: float) -> list[ReplicaAction]:
        """Repeat pulls that are due, and start queued ones while the window allows."""
        wanted: dict[str, list[str]] = {}
        for key, pending in list(self._pulls.items()):
            is_done = pending.version <= self.store.get_version(key)
            is_due = now >= pending.deadline
            if is_done or (is_due and pending.attempts >= PULL_ATTEMPTS):
                # A version that never arrives is detected again by a digest exchange.
                del self._pulls[key]
            elif is_due:
                wanted.setdefault(pending.start_attempt(now), []).append(key)
        while self._queue and len(self._pulls) < PULL_WINDOW:
            key = next(iter(self._queue))
            pending = self._pulls[key] = self._queue.pop(key)
            wanted.setdefault(pending.start_attempt(now), []).append(key)
        actions: list[ReplicaAction] = []
        for peer, keys in wanted.items():
            actions += self._send_pulls(peer, keys)
        return actions

    def _send_pulls(self, peer: str, keys: Iterable[str]) -> list[ReplicaAction]:
        limit = self._settings.datagram_bytes
        return [
            Send(peer, Pull(batch)) for batch in split_batches(keys, measure_key, limit)
        ]

    def _handle_pull(self, sender: str, message: Pull) -> list[ReplicaAction]:
        held = (self.store.get(key) for key in message.keys)
        return self._send_objects(sender, (item for item in held if item is not None))

    def _send_objects(
        self, peer: str, objects: Iterable[StoredObject]
    ) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        limit = self._settings.datagram_bytes
        for batch in split_batches(objects, measure_object, limit):
            if measure_object(batch[0]) > MAX_OBJECT_BYTES:
                actions.append(Count("objects_refused", "too_large"))
                continue
            actions.append(Send(peer, Objects(batch)))
        return actions

    def _send_own_objects(
        self, sender: str, headers: Iterable[VersionHeader]
    ) -> list[ReplicaAction]:
        """Send `sender` the own objects of which `headers` list an older version."""
        actions: list[ReplicaAction] = []
        objects: list[StoredObject] = []
        for header in headers:
            if not self.owner.owns(header.key):
                continue
            missing, raised = self.owner.handle_peer_version(header.key, header.version)
            objects += missing
            actions += raised
        return actions + self._send_objects(sender, objects)

    def _accept_all(
        self, sender: str, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        """Accept `objects` from `sender`; compare own objects with the current ones."""
        actions: list[ReplicaAction] = []
        for item in objects:
            if self.owner.owns(item.key):
                header = VersionHeader(item.key, item.version)
                actions += self._send_own_objects(sender, (header,))
                continue
            actions += self._accept(item, sender, now)
        return actions + self._continue_pulls(now)

    @abc.abstractmethod
    def _accept(
        self, item: StoredObject, sender: str, now: float
    ) -> list[ReplicaAction]:
        """Store `item` if it is newer, and return the resulting actions."""
