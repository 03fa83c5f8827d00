"""Replica of a balancer: gossip, failure detection and watching."""

from collections.abc import Iterable
from random import Random

from bramleystair.actions import Send
from bramleystair.replicas._assignment import (
    choose_balancers,
    choose_watchers,
    group_by_zone,
)
from bramleystair.replicas._batches import measure_header, split_batches
from bramleystair.replicas._events import (
    MessageArrived,
    Peer,
    PlatformObjects,
    ReplicaAction,
    ReplicaEvent,
    ReplicaSettings,
    Tick,
    WatchWanted,
)
from bramleystair.replicas._replica import Replica
from bramleystair.replicas._store import FINE_COUNT
from bramleystair.replicas._versions import (
    LIVENESS_PREFIX,
    compute_down_version,
    encode_liveness,
)
from bramleystair.tables import (
    AGENT_PREFIX,
    BALANCER_PREFIX,
    TABLE_PREFIX,
    ZONE_PREFIX,
    NodeAnnouncement,
)
from bramleystair.wire import (
    BucketVersions,
    Digest,
    Heartbeat,
    HeartbeatReply,
    Objects,
    Pull,
    StoredObject,
    VersionHeader,
    VersionHeaders,
)

# Balancers of each kind, own zone and elsewhere, that a member is told of: the one it
# uses and one to fall back to.
OFFERED_PER_KIND = 2


class BalancerReplica(Replica):
    """Hold every object, spread new versions and detect failed members.

    Parameters
    ----------
    node, zone, region : str
        Name and place of the balancer.
    incarnation : int
        Number of this lifetime, below 2**47 and above that of earlier lifetimes.
    seeds : tuple of Peer
        Balancers from which a new node starts.
    settings : ReplicaSettings
        Address, periods and sizes.
    random : Random
        Source of every random choice.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        region: str,
        incarnation: int,
        seeds: tuple[Peer, ...],
        settings: ReplicaSettings,
        random: Random,
    ) -> None:
        announcement = NodeAnnouncement(
            node,
            zone,
            region,
            settings.host,
            settings.port,
            settings.http_port,
            incarnation,
        )
        super().__init__(node, announcement, seeds, settings, random)
        self._zone = zone
        self._sequence = 0
        self._next_heartbeat = 0.0
        self._next_digest = 0.0
        self._heard: dict[str, float] = {}
        self._contact_at = 0.0
        self._is_watching = False
        self._unspread: dict[tuple[str, ...], list[VersionHeader]] = {}
        self._lapsed: set[str] = set()
        self._nodes_seen: tuple = ()
        self._peers: list[str] = sorted(self._seeds)
        self._down_peers: list[str] = []
        self._groups: dict[str, list[str]] = {}
        self._note_new((self.owner.key,))

    def handle(self, event: ReplicaEvent, now: float) -> list[ReplicaAction]:
        """Return the actions that follow from `event` at `now` seconds."""
        match event:
            case MessageArrived(sender, message):
                actions = self._take_message(sender, message, now)
            case PlatformObjects(objects):
                actions = self._take_platform(objects)
            case Tick():
                actions = self._advance(now)
            case _:
                actions = []
        actions += self._spread()
        return actions + self._show_view()

    def _take_message(self, sender: str, message, now: float) -> list[ReplicaAction]:
        if sender in self.view.nodes or sender in self._seeds:
            self._contact_at = now
        match message:
            case Heartbeat():
                return self._take_heartbeat(sender, message, now)
            case HeartbeatReply(_, headers):
                return self._take_headers(sender, headers, (sender,), now)
            case VersionHeaders(headers, _, path):
                return self._take_headers(sender, headers, path, now)
            case Pull():
                return self._answer_pull(sender, message)
            case Objects(objects):
                return self._take_objects(sender, objects)
            case Digest(buckets):
                return self._take_digest(sender, buckets)
            case BucketVersions():
                return self._take_buckets(sender, message, now)
        return []

    def _advance(self, now: float) -> list[ReplicaAction]:
        actions = self.owner.advance(now)
        self._note_new((self.owner.key,) if actions else ())
        self._update_peers()
        actions += self._update_watch()
        actions += self._detect_down(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self._settings.heartbeat_period_s
            actions += self._send_heartbeats()
        if now >= self._next_digest:
            self._next_digest = now + self._settings.digest_period_s
            actions += self._send_digests()
        return actions

    # Versions

    def _take_platform(self, objects: Iterable[StoredObject]) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        for item in objects:
            if self._is_foreign(item.key):
                continue
            is_lapse = not item.body and item.key.startswith(
                (AGENT_PREFIX, BALANCER_PREFIX)
            )
            if is_lapse and not self._is_reported_down(item.key):
                self._lapsed.add(item.key)
                continue
            actions += self._accept(self.store.normalise(item), ())
        return actions

    def _is_foreign(self, key: str) -> bool:
        spread = (TABLE_PREFIX, ZONE_PREFIX, AGENT_PREFIX, BALANCER_PREFIX)
        return not key.startswith(spread) or self.owner.owns(key)

    def _is_reported_down(self, key: str) -> bool:
        name = key.partition("/")[2]
        incarnation = self._find_incarnation(name)
        return incarnation is None or (name, incarnation) in self.view.down

    def _find_incarnation(self, name: str) -> int | None:
        view = self.view
        known = view.agents.get(name) or view.nodes.get(name)
        return None if known is None else known.incarnation

    def _accept(self, item: StoredObject, path: tuple[str, ...]) -> list[ReplicaAction]:
        is_new, actions = self._put(item)
        if is_new:
            self._note_new((item.key,), path)
        return actions

    def _note_new(self, keys: Iterable[str], path: tuple[str, ...] = ()) -> None:
        for key in keys:
            header = VersionHeader(key, self.store.get_version(key))
            self._unspread.setdefault(path, []).append(header)

    def _spread(self) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        limit = self._settings.datagram_bytes
        for path, headers in self._unspread.items():
            peers = [peer for peer in self._peers if peer not in path]
            count = min(self._settings.fanout, len(peers))
            chosen = self._random.sample(peers, count)
            onward = (*path, self.name)
            for batch in split_batches(headers, measure_header, limit):
                message = VersionHeaders(batch, len(path), onward)
                actions += [Send(peer, message) for peer in chosen]
        self._unspread = {}
        return actions

    def _take_headers(
        self,
        sender: str,
        headers: Iterable[VersionHeader],
        path: tuple[str, ...],
        now: float,
    ) -> list[ReplicaAction]:
        actions = self._answer_own(sender, headers)
        return actions + self._request(sender, headers, path, now)

    def _take_objects(
        self, sender: str, objects: Iterable[StoredObject]
    ) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        for item in objects:
            if self.owner.owns(item.key):
                header = VersionHeader(item.key, item.version)
                actions += self._answer_own(sender, (header,))
                continue
            pending = self._take_pull(item)
            actions += self._accept(
                item, (sender,) if pending is None else pending.path
            )
        return actions

    def _send_digests(self) -> list[ReplicaAction]:
        message = Digest(tuple(self.store.digest))
        targets = []
        if self._peers:
            targets.append(self._random.choice(self._peers))
        if self._down_peers:
            # The report may be false, or the connection may have returned.
            targets.append(self._random.choice(self._down_peers))
        return [Send(peer, message) for peer in targets]

    def _take_digest(
        self, sender: str, digests: tuple[int, ...]
    ) -> list[ReplicaAction]:
        actions = self._send_report(sender)
        if len(digests) == FINE_COUNT:
            return actions + self._send_buckets(sender, digests)
        if digests != tuple(self.store.digest):
            actions.append(Send(sender, Digest(tuple(self.store.fine_digest))))
        return actions

    def _send_buckets(self, peer: str, digests: tuple[int, ...]) -> list[ReplicaAction]:
        own = self.store.fine_digest
        differing = [
            index for index in range(FINE_COUNT) if own[index] != digests[index]
        ]
        limit = self._settings.datagram_bytes
        actions: list[ReplicaAction] = []
        for batch in split_batches(differing, self._measure_bucket, limit):
            headers = [h for index in batch for h in self.store.list_headers(index)]
            actions.append(Send(peer, BucketVersions(batch, tuple(headers), False)))
        return actions

    def _measure_bucket(self, fine_bucket: int) -> int:
        headers = self.store.list_headers(fine_bucket)
        return 1 + sum(measure_header(header) for header in headers)

    def _take_buckets(
        self, sender: str, message: BucketVersions, now: float
    ) -> list[ReplicaAction]:
        actions = self._take_headers(sender, message.headers, (sender,), now)
        if message.is_reply:
            return actions
        limit = self._settings.datagram_bytes
        newer = self._list_newer(message)
        return actions + [
            Send(sender, BucketVersions((), batch, True))
            for batch in split_batches(newer, measure_header, limit)
        ]

    def _list_newer(self, message: BucketVersions) -> list[VersionHeader]:
        theirs = {header.key: header.version for header in message.headers}
        return [
            header
            for bucket in message.buckets
            for header in self.store.list_headers(bucket)
            if header.version > theirs.get(header.key, 0)
        ]

    # Membership

    def _update_peers(self) -> None:
        view = self.view
        if self._nodes_seen == (id(view.nodes), id(view.down)):
            return
        self._nodes_seen = (id(view.nodes), id(view.down))
        live = {
            name: node
            for name, node in view.nodes.items()
            if (name, node.incarnation) not in view.down
        }
        self._groups = group_by_zone(live)
        known = sorted(name for name in view.nodes if name != self.name)
        self._peers = [name for name in known if name in live]
        self._down_peers = [name for name in known if name not in live]
        if not self._peers:
            self._peers = sorted(self._seeds)

    def _update_watch(self) -> list[ReplicaAction]:
        names = self._groups.get(self._zone, [])
        watchers = choose_watchers(self._zone, names, self._settings.watchers_per_zone)
        is_wanted = self.name in watchers
        if is_wanted == self._is_watching:
            return []
        self._is_watching = is_wanted
        return [WatchWanted(is_wanted)]

    def _send_heartbeats(self) -> list[ReplicaAction]:
        self._sequence += 1
        message = Heartbeat(self._sequence)
        targets = choose_balancers(self.name, self._zone, self._groups)
        return [Send(peer, message) for peer in targets or sorted(self._seeds)[:2]]

    def _take_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> list[ReplicaAction]:
        self._heard[sender] = now
        keys = self._list_concerns(sender, message.services)
        if self.store.digest_keys(keys) == message.digest:
            return [Send(sender, HeartbeatReply(message.sequence))]
        headers = [VersionHeader(key, self.store.get_version(key)) for key in keys]
        limit = self._settings.datagram_bytes
        return [
            Send(sender, HeartbeatReply(message.sequence, batch))
            for batch in split_batches(headers, measure_header, limit)
        ]

    def _list_concerns(self, member: str, services: tuple[str, ...]) -> list[str]:
        """Return the keys that a member needs: its services, zones and balancers."""
        view = self.view
        keys = {LIVENESS_PREFIX + member}
        if member in view.nodes or member in self._seeds:
            return sorted(keys | {BALANCER_PREFIX + member})
        keys.add(AGENT_PREFIX + member)
        keys.update(ZONE_PREFIX + zone for zone in view.zones)
        for service, table in view.tables.items():
            if service in services or table.get_member(member) is not None:
                keys.add(TABLE_PREFIX + service)
                keys.update(AGENT_PREFIX + row.server for row in table.members)
                keys.update(LIVENESS_PREFIX + row.server for row in table.members)
        keys.update(TABLE_PREFIX + service for service in services)
        agent = view.agents.get(member)
        zone = "" if agent is None else agent.zone
        offered = choose_balancers(member, zone, self._groups, OFFERED_PER_KIND)
        keys.update(BALANCER_PREFIX + node for node in offered)
        return sorted(keys)

    def _detect_down(self, now: float) -> list[ReplicaAction]:
        if self._is_isolated(now):
            self._heard = dict.fromkeys(self._heard, now)
            return []
        limit = now - self._settings.down_after_s
        silent = [name for name, heard in self._heard.items() if heard <= limit]
        actions: list[ReplicaAction] = []
        for name in silent:
            del self._heard[name]
            if self._is_chosen_by(name):
                actions += self._report_down(name)
        return actions

    def _is_chosen_by(self, member: str) -> bool:
        # A member that was heard only while it started sends to others from then on.
        known = self.view.agents.get(member) or self.view.nodes.get(member)
        if known is None:
            return False
        return self.name in choose_balancers(member, known.zone, self._groups)

    def _is_isolated(self, now: float) -> bool:
        """Return whether this node, rather than its members, has lost contact."""
        if not self._peers:
            return False
        return now - self._contact_at >= self._settings.down_after_s

    def _report_down(self, name: str) -> list[ReplicaAction]:
        incarnation = self._find_incarnation(name)
        if incarnation is None:
            return []
        key = LIVENESS_PREFIX + name
        version = compute_down_version(incarnation, self.store.get_version(key))
        report = StoredObject(key, version, "", encode_liveness(version))
        actions = self._accept(report, ())
        return actions + self._apply_lapse(name)

    def _apply_lapse(self, name: str) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        for key in (AGENT_PREFIX + name, BALANCER_PREFIX + name):
            if key in self._lapsed:
                self._lapsed.discard(key)
                lapse = self.store.normalise(StoredObject(key))
                actions += self._accept(lapse, ())
        return actions

    def _send_report(self, sender: str) -> list[ReplicaAction]:
        """Tell a sender that is reported down, so that it can refute the report."""
        incarnation = self._find_incarnation(sender)
        if (sender, incarnation) not in self.view.down:
            return []
        key = LIVENESS_PREFIX + sender
        header = VersionHeader(key, self.store.get_version(key))
        return [Send(sender, VersionHeaders((header,), 0, (self.name,)))]
