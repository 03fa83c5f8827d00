"""Replica of a balancer: gossip, failure detection and watching."""

from collections.abc import Iterable
from random import Random

import attrs

from bramleystair.actions import Send
from bramleystair.replicas._assignment import (
    choose_balancers,
    choose_watchers,
    group_by_zone,
    is_chosen,
)
from bramleystair.replicas._batches import measure_header, split_batches
from bramleystair.replicas._events import (
    LISTED_PREFIXES,
    WATCHED_PREFIXES,
    MessageArrived,
    Peer,
    PlatformListed,
    PlatformObjects,
    ReplicaAction,
    ReplicaEvent,
    ReplicaSettings,
    Tick,
    WatcherRoleChanged,
)
from bramleystair.replicas._replica import Replica
from bramleystair.replicas._store import FINE_COUNT
from bramleystair.replicas._versions import (
    LIVENESS_PREFIX,
    build_report,
    compute_down_version,
    get_incarnation,
    is_down_version,
    refute_version,
)
from bramleystair.tables import (
    AGENT_PREFIX,
    BALANCER_PREFIX,
    TABLE_PREFIX,
    NodeAnnouncement,
    build_key,
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
# Silence of this node itself after which it may have missed heartbeats that were sent.
PAUSE_S = 1.0
# A member that is silent for longer is asked for a sign of life on each tick.
PROBE_AFTER_PERIODS = 2.0
# A report is refuted for a member that was heard within this many heartbeat periods.
REFUTE_WITHIN_PERIODS = 1.5
# 100 members per second check 9,100 agents and 1,200 balancers within 103 s. Only the
# failure of a member together with both of its balancers waits for this check.
ADOPTION_PERIOD_S = 1.0
ADOPTION_CHECKS = 100
# Versions listed in answer to one digest, about 20 KB.
MAX_LISTED = 400
# More missing versions than this after a digest mean that the node is catching up.
CATCH_UP_PULLS = 64
# Announcements and reports of failures beyond this number wait for the next tick and
# go out together; a burst then takes a message for 20 headers instead of one for each.
SPREADS_PER_TICK = 8


@attrs.frozen
class _Concerns:
    """Versions that one member needs.

    Parameters
    ----------
    basis : tuple of int and tuple of str
        Store generation and services from which they were found.
    headers : tuple of VersionHeader
        The versions.
    digest : int
        XOR of their hashes.
    """

    basis: tuple[int, tuple[str, ...]]
    headers: tuple[VersionHeader, ...]
    digest: int


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
        self._next_adoption = 0.0
        self._unchecked: list[str] = []
        self._is_watching = False
        self._unspread: dict[str, list[VersionHeader]] = {}
        self._spread_count = 0
        self._seen_membership = -1
        self._offers: dict[str, list[str]] = {}
        self._concerns: dict[str, _Concerns] = {}
        self._peers: list[str] = sorted(self._seeds)
        self._down_peers: list[str] = []
        self._groups: dict[str, list[str]] = {}
        self._is_catching_up = False
        self._own_spread: dict[str, int] = {}

    def handle(self, event: ReplicaEvent, now: float) -> list[ReplicaAction]:
        """Return the actions that follow from `event` at `now` seconds."""
        pause, actions = self.owner.notice_time(now)
        if pause >= PAUSE_S:
            self._restart_waiting(now)
        match event:
            case MessageArrived(sender, message):
                actions += self._take_message(sender, message, now)
            case PlatformObjects(objects):
                actions += self._take_platform(objects, now)
            case PlatformListed(prefix, objects):
                actions += self._take_platform(objects, now)
                actions += self._remove_lapsed(prefix, objects, now)
            case Tick():
                actions += self._advance(now)
        actions += self._spread(isinstance(event, Tick))
        return actions + self._show_view()

    def mark_announced(self) -> None:
        """Treat everything held as known to the peers; for measurements."""
        for key in (self.owner.key, self.owner.liveness_key):
            self._own_spread[key] = self.store.get_version(key)

    def _take_message(self, sender: str, message, now: float) -> list[ReplicaAction]:
        self._contact_at = now
        if sender in self._heard:
            self._heard[sender] = now
        match message:
            case Heartbeat():
                return self._take_heartbeat(sender, message, now)
            case HeartbeatReply(_, headers):
                return self._take_headers(sender, headers, now)
            case VersionHeaders(headers):
                return self._take_headers(sender, headers, now)
            case Pull():
                return self._answer_pull(sender, message)
            case Objects(objects):
                return self._take_objects(sender, objects, now)
            case Digest(buckets):
                return self._take_digest(sender, buckets)
            case BucketVersions():
                return self._take_buckets(sender, message, now)
        return []

    def _advance(self, now: float) -> list[ReplicaAction]:
        actions = self.owner.renew(now) + self._continue_pulls(now)
        self._is_catching_up &= bool(self._pulls)
        actions += self._update_peers()
        actions += self._detect_down(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self._settings.heartbeat_period_s
            actions += self._send_heartbeats()
        if now >= self._next_digest:
            self._next_digest = now + self._settings.digest_period_s
            actions += self._send_digests()
        if now >= self._next_adoption:
            self._next_adoption = now + ADOPTION_PERIOD_S
            self._adopt_unheard(now)
        return actions

    # Versions

    def _take_platform(
        self, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        for item in objects:
            if self._is_foreign(item.key):
                continue
            is_lapse = not item.body and item.key.startswith(LISTED_PREFIXES)
            if is_lapse and not self._is_reported_down(item.key):
                continue
            actions += self._accept(self.store.normalise(item), "", now)
        return actions

    def _is_foreign(self, key: str) -> bool:
        spread = WATCHED_PREFIXES + LISTED_PREFIXES
        return not key.startswith(spread) or self.owner.owns(key)

    def _remove_lapsed(
        self, prefix: str, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        """Remove announcements that are no longer listed, of members reported down.

        After an outage longer than a lease, live members are missing from the list.
        """
        actions: list[ReplicaAction] = []
        if prefix not in LISTED_PREFIXES:
            return actions
        listed = {item.key for item in objects}
        for item in self.store.list_objects(prefix):
            if (
                item.body
                and item.key not in listed
                and self._is_reported_down(item.key)
            ):
                lapse = self.store.normalise(StoredObject(item.key))
                actions += self._accept(lapse, "", now)
        return actions

    def _is_reported_down(self, key: str) -> bool:
        name = key.partition("/")[2]
        return self.store.find_member(name) is None or self.store.is_down(name)

    def _accept(
        self, item: StoredObject, sender: str, now: float
    ) -> list[ReplicaAction]:
        is_new, actions = self._put(item)
        if not is_new:
            return actions
        if self._is_refutable(item, now):
            version = refute_version(item.version)
            self.store.put(build_report(item.key, version))
            # The sender holds the report and needs the refutation too.
            sender = ""
        if not self._is_catching_up:
            self._note_new(item.key, sender)
        return actions

    def _is_refutable(self, report: StoredObject, now: float) -> bool:
        """Return whether `report` is about a member that was heard just now."""
        name = report.key.removeprefix(LIVENESS_PREFIX)
        if name == report.key or not self.store.is_down(name):
            return False
        heard = self._heard.get(name)
        limit = REFUTE_WITHIN_PERIODS * self._settings.heartbeat_period_s
        return heard is not None and now - heard < limit

    def _note_new(self, key: str, sender: str) -> None:
        header = VersionHeader(key, self.store.get_version(key))
        self._unspread.setdefault(sender, []).append(header)

    def _note_own(self) -> None:
        for key in (self.owner.key, self.owner.liveness_key):
            version = self.store.get_version(key)
            if version > self._own_spread.get(key, 0):
                self._own_spread[key] = version
                self._note_new(key, "")

    def _spread(self, is_tick: bool) -> list[ReplicaAction]:
        self._note_own()
        if is_tick and len(self._unspread) > 1:
            merged = [header for rest in self._unspread.values() for header in rest]
            self._unspread = {"": merged}
        if is_tick:
            self._spread_count = 0
        waiting: dict[str, list[VersionHeader]] = {}
        actions: list[ReplicaAction] = []
        for sender, headers in self._unspread.items():
            if self._spread_count >= SPREADS_PER_TICK:
                waiting[sender] = [h for h in headers if not _is_urgent(h)]
                headers = [h for h in headers if _is_urgent(h)]
            if headers:
                self._spread_count += 1
                actions += self._send_headers(sender, headers)
        self._unspread = {sender: rest for sender, rest in waiting.items() if rest}
        return actions

    def _send_headers(
        self, sender: str, headers: list[VersionHeader]
    ) -> list[ReplicaAction]:
        peers = [peer for peer in self._peers if peer != sender]
        chosen = self._random.sample(peers, min(self._settings.fanout, len(peers)))
        limit = self._settings.datagram_bytes
        return [
            Send(peer, VersionHeaders(batch))
            for batch in split_batches(headers, measure_header, limit)
            for peer in chosen
        ]

    def _take_headers(
        self,
        sender: str,
        headers: Iterable[VersionHeader],
        now: float,
    ) -> list[ReplicaAction]:
        actions = self._answer_own(sender, headers)
        bodiless = [h for h in headers if h.key.startswith(LIVENESS_PREFIX)]
        for header in bodiless:
            if not self.owner.owns(header.key):
                report = build_report(header.key, header.version)
                actions += self._accept(report, sender, now)
        return actions + self._request(sender, headers, now)

    def _take_objects(
        self, sender: str, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        actions = self._accept_all(sender, objects, now)
        if self._is_catching_up and not self._pulls:
            # What was listed has arrived; the rest follows without waiting a period.
            actions.append(Send(sender, Digest(tuple(self.store.digest))))
        self._is_catching_up &= bool(self._pulls)
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
        listed = 0
        self._random.shuffle(differing)
        for batch in split_batches(differing, self._measure_bucket, limit):
            headers = [h for index in batch for h in self.store.list_headers(index)]
            actions.append(Send(peer, BucketVersions(batch, tuple(headers), False)))
            listed += len(headers)
            if listed >= MAX_LISTED:
                break
        return actions

    def _measure_bucket(self, fine_bucket: int) -> int:
        headers = self.store.list_headers(fine_bucket)
        return 1 + sum(measure_header(header) for header in headers)

    def _take_buckets(
        self, sender: str, message: BucketVersions, now: float
    ) -> list[ReplicaAction]:
        actions = self._take_headers(sender, message.headers, now)
        if len(self._pulls) + len(self._queue) > CATCH_UP_PULLS:
            # The peers hold what arrives from now on; announcing it would be in vain.
            self._is_catching_up = True
        if message.is_reply:
            return actions
        limit = self._settings.datagram_bytes
        newer = self._list_newer(message)
        if len(newer) > MAX_LISTED:
            # The peer sends another digest when it has these.
            newer = self._random.sample(newer, MAX_LISTED)
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

    def _update_peers(self) -> list[ReplicaAction]:
        if self._seen_membership == self.store.membership_generation:
            return []
        self._seen_membership = self.store.membership_generation
        nodes = self.store.nodes
        live = {name: nodes[name] for name in nodes if not self.store.is_down(name)}
        self._groups = group_by_zone(live)
        self._offers = {}
        known = sorted(name for name in nodes if name != self.name)
        self._peers = [name for name in known if name in live]
        self._down_peers = [name for name in known if name not in live]
        if not self._peers:
            self._peers = sorted(self._seeds)
        return self._update_watch()

    def _update_watch(self) -> list[ReplicaAction]:
        names = self._groups.get(self._zone, [])
        watchers = choose_watchers(self._zone, names, self._settings.watchers_per_zone)
        is_watcher = self.name in watchers
        if is_watcher == self._is_watching:
            return []
        self._is_watching = is_watcher
        return [WatcherRoleChanged(is_watcher)]

    def _send_heartbeats(self) -> list[ReplicaAction]:
        self._sequence += 1
        message = Heartbeat(self._sequence)
        targets = choose_balancers(self.name, self._zone, self._groups)
        return [Send(peer, message) for peer in targets or sorted(self._seeds)[:2]]

    def _take_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> list[ReplicaAction]:
        self._heard[sender] = now
        concerns = self._list_concerns(sender, message.services)
        if concerns.digest == message.digest:
            return [Send(sender, HeartbeatReply(message.sequence))]
        limit = self._settings.datagram_bytes
        return [
            Send(sender, HeartbeatReply(message.sequence, batch))
            for batch in split_batches(concerns.headers, measure_header, limit)
        ]

    def _list_concerns(self, member: str, services: tuple[str, ...]) -> _Concerns:
        """Return the versions that a member needs, kept until something changes."""
        basis = (self.store.generation, services)
        known = self._concerns.get(member)
        if known is None or known.basis != basis:
            keys = sorted(self._find_keys(member, services))
            versions = [VersionHeader(k, self.store.get_version(k)) for k in keys]
            digest = self.store.digest_keys(keys)
            known = _Concerns(basis, tuple(versions), digest)
            self._concerns[member] = known
        return known

    def _find_keys(self, member: str, services: tuple[str, ...]) -> set[str]:
        keys = {LIVENESS_PREFIX + member}
        if member in self.store.nodes or member in self._seeds:
            return keys | {BALANCER_PREFIX + member}
        keys.add(AGENT_PREFIX + member)
        keys.update(self.store.zone_keys)
        for service in {*services, *self.store.list_services(member)}:
            keys.add(TABLE_PREFIX + service)
            table = self.store.tables.get(service)
            for row in () if table is None else table.members:
                keys.add(AGENT_PREFIX + row.server)
                keys.add(LIVENESS_PREFIX + row.server)
        keys.update(BALANCER_PREFIX + node for node in self._offer_balancers(member))
        return keys

    def _offer_balancers(self, member: str) -> list[str]:
        if member not in self._offers:
            agent = self.store.agents.get(member)
            zone = "" if agent is None else agent.zone
            self._offers[member] = choose_balancers(
                member, zone, self._groups, OFFERED_PER_KIND
            )
        return self._offers[member]

    def _detect_down(self, now: float) -> list[ReplicaAction]:
        if self._is_isolated(now):
            self._restart_waiting(now)
            return []
        limit = now - PROBE_AFTER_PERIODS * self._settings.heartbeat_period_s
        silent = [name for name, heard in self._heard.items() if heard <= limit]
        actions: list[ReplicaAction] = []
        for name in silent:
            actions += self._check_silent(name, now)
        return actions

    def _check_silent(self, name: str, now: float) -> list[ReplicaAction]:
        """Ask a silent member for a sign of life, and report it down after a while."""
        is_over = now - self._heard[name] >= self._settings.down_after_s
        is_chosen = self._is_chosen_by(name)
        if is_chosen and not is_over:
            return [Send(name, Pull((build_key(self.store.find_member(name)),)))]
        del self._heard[name]
        self._concerns.pop(name, None)
        return self._report_down(name, now) if is_chosen else []

    def _restart_waiting(self, now: float) -> None:
        self._heard = dict.fromkeys(self._heard, now)

    def _is_chosen_by(self, member: str) -> bool:
        # A member that was heard only while it started sends to others from then on.
        known = self.store.find_member(member)
        if known is None:
            return False
        return is_chosen(self.name, self._zone, member, known.zone, self._groups)

    def _adopt_unheard(self, now: float) -> None:
        """Wait for members that should send heartbeats here, but do not.

        Without this, the failure of a member together with both of its balancers would
        never be reported.
        """
        if not self._unchecked:
            self._unchecked = [*self.store.agents, *self.store.nodes]
        checked = self._unchecked[-ADOPTION_CHECKS:]
        del self._unchecked[-ADOPTION_CHECKS:]
        for name in checked:
            if name in self._heard or not self._is_adoptable(name):
                continue
            # Early enough that the wait is no reason to refute another's report.
            period_s = self._settings.heartbeat_period_s
            self._heard[name] = now - REFUTE_WITHIN_PERIODS * period_s

    def _is_adoptable(self, name: str) -> bool:
        member = self.store.find_member(name)
        if member is None or name == self.name or self.store.is_down(name):
            return False
        # A refuted report shows that others reach the member even if this node cannot.
        reported = self.store.get_version(LIVENESS_PREFIX + name)
        if reported and get_incarnation(reported) == member.incarnation:
            return False
        return self._is_chosen_by(name)

    def _is_isolated(self, now: float) -> bool:
        """Return whether this node, rather than its members, has lost contact."""
        return now - self._contact_at >= self._settings.down_after_s

    def _report_down(self, name: str, now: float) -> list[ReplicaAction]:
        incarnation = self.store.find_member(name).incarnation
        key = LIVENESS_PREFIX + name
        version = compute_down_version(incarnation, self.store.get_version(key))
        return self._accept(build_report(key, version), "", now)

    def _send_report(self, sender: str) -> list[ReplicaAction]:
        """Tell a sender that is reported down, so that it can refute the report."""
        if not self.store.is_down(sender):
            return []
        key = LIVENESS_PREFIX + sender
        header = VersionHeader(key, self.store.get_version(key))
        return [Send(sender, VersionHeaders((header,)))]


def _is_urgent(header: VersionHeader) -> bool:
    """Return whether a version goes out at once even in a burst."""
    if header.key.startswith(LIVENESS_PREFIX):
        # A refutation returns a healthy member to service.
        return not is_down_version(header.version)
    return header.key.startswith(WATCHED_PREFIXES)
