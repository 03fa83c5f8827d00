"""A balancer's copy of the replicated objects.

It propagates new versions to other balancers by gossip, detects failed members and
selects the balancers that watch the platform.
"""

from collections.abc import Iterable
from random import Random

import attrs

from bramleystair.actions import Send
from bramleystair.replicas._assignment import (
    choose_balancers,
    choose_watchers,
    group_by_zone,
    is_heartbeat_target,
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
from bramleystair.replicas._store import FINE_BUCKET_COUNT
from bramleystair.replicas._versions import (
    LIVENESS_PREFIX,
    build_liveness_report,
    compute_down_version,
    compute_refutation_version,
    get_incarnation,
    is_down_version,
)
from bramleystair.tables import (
    AGENT_PREFIX,
    BALANCER_PREFIX,
    TABLE_PREFIX,
    BalancerAnnouncement,
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

# Number of balancers whose announcements an agent receives as heartbeat targets, in
# each of two localities: its own availability zone and the other zones together. The
# first of each is used, the second is the fallback.
HEARTBEAT_CANDIDATES_PER_LOCALITY = 2
# If this process handled no event for at least this long, it was paused, and heartbeats
# that members sent to it may have been lost. The value equals the default of
# `heartbeat_period_s`.
PAUSE_THRESHOLD_S = 1.0
# A member from which nothing was received for longer than this is probed on each tick.
PROBE_AFTER_PERIODS = 2.0
# A down report is refuted if a message of the member was received within this many
# heartbeat periods.
REFUTE_WITHIN_PERIODS = 1.5
# In each period, this many members are checked for whether they should send heartbeats
# to this node. A full pass over the largest planned size, 9,100 agents and 1,200
# balancers, takes 103 s. Detection depends on this check only if a member and both of
# its balancers fail together.
MEMBER_CHECK_PERIOD_S = 1.0
MEMBERS_PER_CHECK = 100
# Maximum number of versions that are sent in response to one digest, about 20 KB.
MAX_VERSIONS_PER_DIGEST = 400
# If more versions than this are missing after a digest exchange, the node is catching
# up and does not announce the versions that it receives.
CATCH_UP_THRESHOLD = 64
# New versions are announced in groups by the peer that sent them, which is excluded
# from the announcement of its group. Groups beyond this number wait for the next tick,
# which merges all groups into one that excludes no peer, so that a burst takes one
# message for about 20 headers, as many as fit into a datagram, instead of one for each.
# Refutations, tables and zone marks are not delayed.
ANNOUNCEMENT_GROUPS_PER_TICK = 8
# Number of seeds that a node without live peers sends heartbeats to; as many as
# `choose_balancers` returns for other nodes.
SEED_TARGETS = 2
# Size of a bucket number in `BucketVersions`.
BUCKET_INDEX_BYTES = 1


@attrs.frozen
class _RelevantVersions:
    """Versions of the objects that one member needs.

    Parameters
    ----------
    cache_key : tuple of int and tuple of str
        Store generation and services for which the versions were computed.
    headers : tuple of VersionHeader
        Keys and versions.
    digest : int
        XOR of the hashes of `headers`, compared with the digest in a heartbeat.
    """

    cache_key: tuple[int, tuple[str, ...]]
    headers: tuple[VersionHeader, ...]
    digest: int


class BalancerReplica(Replica):
    """Hold all replicated objects, propagate new versions and detect failed members.

    Parameters
    ----------
    node, zone, region : str
        Name, availability zone and region of the balancer.
    incarnation : int
        Incarnation of this process, above those of earlier processes of the same name.
        It is below 2**47, so that a version, which adds `SEQUENCE_BITS` low bits, is
        below 2**63.
    seeds : tuple of Peer
        Balancers that a new node contacts first.
    settings : ReplicaSettings
        Address, periods and size limits.
    random : Random
        Source of all random choices.
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
        announcement = BalancerAnnouncement(
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
        self._next_heartbeat_s = 0.0
        self._next_digest_s = 0.0
        # Time of the last message of each member whose silence is measured, or an
        # assumed time, set after a pause or isolation of this node and for a member
        # that should send heartbeats here but has not.
        self._last_heard_s: dict[str, float] = {}
        # Members whose time was assumed after a pause or isolation. It does not show
        # that they live, so it refutes no down report.
        self._assumed_heard: set[str] = set()
        # Members of which this node has the latest proof that a down report was false.
        # It monitors them even if they send their heartbeats to other nodes, as nodes
        # that cannot reach a member do not report it a second time.
        self._monitored: set[str] = set()
        self._last_contact_s = 0.0
        self._next_member_check_s = 0.0
        self._members_to_check: list[str] = []
        self._is_watching = False
        self._announcements_by_sender: dict[str, list[VersionHeader]] = {}
        self._announced_group_count = 0
        self._peers_generation = -1
        self._heartbeat_candidates: dict[str, list[str]] = {}
        self._relevant_versions: dict[str, _RelevantVersions] = {}
        self._peers: list[str] = sorted(self._seeds)
        self._down_peers: list[str] = []
        self._live_by_zone: dict[str, list[str]] = {}
        self._is_catching_up = False
        self._announced_own_versions: dict[str, int] = {}

    def handle(self, event: ReplicaEvent, now: float) -> list[ReplicaAction]:
        """Process `event`, which occurred at `now` seconds, and return the actions."""
        pause_s, actions = self.local_member.check_pause(now)
        if pause_s >= PAUSE_THRESHOLD_S:
            self._reset_silence_timers(now)
        match event:
            case MessageArrived(sender, message):
                actions += self._handle_message(sender, message, now)
            case PlatformObjects(objects):
                actions += self._handle_platform_objects(objects, now)
            case PlatformListed(prefix, objects):
                actions += self._handle_platform_objects(objects, now)
                actions += self._remove_expired(prefix, objects, now)
            case Tick():
                actions += self._handle_tick(now)
        actions += self._announce_versions(isinstance(event, Tick))
        return actions + self._emit_view()

    def mark_announced(self) -> None:
        """Skip the announcement of the own objects, which the peers already hold."""
        for key in (self.local_member.key, self.local_member.liveness_key):
            self._announced_own_versions[key] = self.store.get_version(key)

    def _handle_message(self, sender: str, message, now: float) -> list[ReplicaAction]:
        self._last_contact_s = now
        if sender in self._last_heard_s:
            self._record_heard(sender, now)
        match message:
            case Heartbeat():
                return self._handle_heartbeat(sender, message, now)
            case HeartbeatReply(_, headers):
                return self._handle_headers(sender, headers, now)
            case VersionHeaders(headers):
                return self._handle_headers(sender, headers, now)
            case Pull():
                return self._handle_pull(sender, message)
            case Objects(objects):
                return self._handle_objects(sender, objects, now)
            case Digest(buckets):
                return self._handle_digest(sender, buckets)
            case BucketVersions():
                return self._handle_bucket_versions(sender, message, now)
        return []

    def _handle_tick(self, now: float) -> list[ReplicaAction]:
        actions = self.local_member.renew_lease(now) + self._continue_pulls(now)
        self._is_catching_up &= bool(self._outstanding_pulls)
        actions += self._update_peers()
        actions += self._detect_failures(now)
        if now >= self._next_heartbeat_s:
            self._next_heartbeat_s = now + self._settings.heartbeat_period_s
            actions += self._send_heartbeats()
        if now >= self._next_digest_s:
            self._next_digest_s = now + self._settings.digest_period_s
            actions += self._send_digests()
        if now >= self._next_member_check_s:
            self._next_member_check_s = now + MEMBER_CHECK_PERIOD_S
            self._start_missing_silence_timers(now)
        return actions

    # Propagation of versions

    def _handle_platform_objects(
        self, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        for item in objects:
            if self._is_ignored(item.key):
                continue
            is_deletion = not item.body and item.key.startswith(LISTED_PREFIXES)
            if is_deletion and not self._is_down_or_unknown(item.key):
                # The lease of a live member expires in a long outage of the platform.
                continue
            actions += self._accept(self.store.normalise_version(item), "", now)
        return actions

    def _is_ignored(self, key: str) -> bool:
        """Return whether the platform's object is of no use to this node.

        Only objects that balancers watch or list at the platform are used, and this
        node's own objects are never taken from it.
        """
        prefixes = WATCHED_PREFIXES + LISTED_PREFIXES
        return not key.startswith(prefixes) or self.local_member.owns(key)

    def _remove_expired(
        self, prefix: str, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        """Remove announcements that the platform's listing of `prefix` lacks.

        Only those of members that are reported down are removed. After a platform
        outage longer than a lease, the listing lacks live members too.
        """
        actions: list[ReplicaAction] = []
        if prefix not in LISTED_PREFIXES:
            return actions
        listed = {item.key for item in objects}
        for item in self.store.list_objects(prefix):
            if (
                item.body
                and item.key not in listed
                and self._is_down_or_unknown(item.key)
            ):
                tombstone = self.store.normalise_version(StoredObject(item.key))
                actions += self._accept(tombstone, "", now)
        return actions

    def _is_down_or_unknown(self, key: str) -> bool:
        """Return whether a member is reported down or has no announcement."""
        name = key.partition("/")[2]
        return self.store.find_member(name) is None or self.store.is_down(name)

    def _accept(
        self, item: StoredObject, sender: str, now: float
    ) -> list[ReplicaAction]:
        is_new, actions = self._put(item)
        if not is_new:
            return actions
        if item.key.startswith(LIVENESS_PREFIX):
            self._update_monitored(item, sender, now)
        if self._is_refutable(item, now):
            self._monitored.add(item.key.removeprefix(LIVENESS_PREFIX))
            version = compute_refutation_version(item.version)
            self.store.put(build_liveness_report(item.key, version))
            # An empty sender excludes no peer: the sender of the report needs the
            # refutation too.
            sender = ""
        if not self._is_catching_up:
            self._queue_announcement(item.key, sender)
        return actions

    def _update_monitored(self, report: StoredObject, sender: str, now: float) -> None:
        """Monitor the subject of a report only if it has sent the refutation itself.

        Otherwise, the node that refuted the report has heard from it later.
        """
        name = report.key.removeprefix(LIVENESS_PREFIX)
        self._monitored.discard(name)
        if name == sender and not is_down_version(report.version):
            self._monitored.add(name)
            self._record_heard(name, now)

    def _is_refutable(self, report: StoredObject, now: float) -> bool:
        """Return whether `report` is about a member that was heard from recently."""
        name = report.key.removeprefix(LIVENESS_PREFIX)
        if name == report.key or not self.store.is_down(name):
            return False
        if name in self._assumed_heard:
            return False
        heard_s = self._last_heard_s.get(name)
        limit_s = REFUTE_WITHIN_PERIODS * self._settings.heartbeat_period_s
        return heard_s is not None and now - heard_s < limit_s

    def _queue_announcement(self, key: str, sender: str) -> None:
        header = VersionHeader(key, self.store.get_version(key))
        self._announcements_by_sender.setdefault(sender, []).append(header)

    def _queue_own_announcements(self) -> None:
        for key in (self.local_member.key, self.local_member.liveness_key):
            version = self.store.get_version(key)
            if version > self._announced_own_versions.get(key, 0):
                self._announced_own_versions[key] = version
                self._queue_announcement(key, "")

    def _announce_versions(self, is_tick: bool) -> list[ReplicaAction]:
        self._queue_own_announcements()
        if is_tick and len(self._announcements_by_sender) > 1:
            merged = [
                header
                for rest in self._announcements_by_sender.values()
                for header in rest
            ]
            self._announcements_by_sender = {"": merged}
        if is_tick:
            self._announced_group_count = 0
        waiting: dict[str, list[VersionHeader]] = {}
        actions: list[ReplicaAction] = []
        for sender, headers in self._announcements_by_sender.items():
            if self._announced_group_count >= ANNOUNCEMENT_GROUPS_PER_TICK:
                waiting[sender] = [h for h in headers if not _is_urgent(h)]
                headers = [h for h in headers if _is_urgent(h)]
            if headers:
                self._announced_group_count += 1
                actions += self._send_headers(sender, headers)
        self._announcements_by_sender = {
            sender: rest for sender, rest in waiting.items() if rest
        }
        return actions

    def _send_headers(
        self, excluded_peer: str, headers: list[VersionHeader]
    ) -> list[ReplicaAction]:
        peers = [peer for peer in self._peers if peer != excluded_peer]
        chosen = self._random.sample(peers, min(self._settings.fanout, len(peers)))
        limit = self._settings.datagram_bytes
        return [
            Send(peer, VersionHeaders(batch))
            for batch in split_batches(headers, measure_header, limit)
            for peer in chosen
        ]

    def _handle_headers(
        self,
        sender: str,
        headers: Iterable[VersionHeader],
        now: float,
    ) -> list[ReplicaAction]:
        actions = self._send_own_objects(sender, headers)
        liveness_headers = [h for h in headers if h.key.startswith(LIVENESS_PREFIX)]
        for header in liveness_headers:
            if not self.local_member.owns(header.key):
                report = build_liveness_report(header.key, header.version)
                actions += self._accept(report, sender, now)
        return actions + self._request_newer(sender, headers, now)

    def _handle_objects(
        self, sender: str, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        actions = self._accept_all(sender, objects, now)
        if self._is_catching_up and not self._outstanding_pulls:
            # All requested versions have arrived. Send a digest at once instead of
            # after the digest period, so that the peer lists the next ones.
            actions.append(Send(sender, Digest(tuple(self.store.bucket_digests))))
        self._is_catching_up &= bool(self._outstanding_pulls)
        return actions

    def _send_digests(self) -> list[ReplicaAction]:
        message = Digest(tuple(self.store.bucket_digests))
        targets = []
        if self._peers:
            targets.append(self._random.choice(self._peers))
        if self._down_peers:
            # The down report may be false, or the connection may have been restored.
            targets.append(self._random.choice(self._down_peers))
        return [Send(peer, message) for peer in targets]

    def _handle_digest(
        self, sender: str, digests: tuple[int, ...]
    ) -> list[ReplicaAction]:
        actions = self._send_down_report(sender)
        if len(digests) == FINE_BUCKET_COUNT:
            return actions + self._send_bucket_versions(sender, digests)
        if digests != tuple(self.store.bucket_digests):
            actions.append(Send(sender, Digest(tuple(self.store.fine_bucket_digests))))
        return actions

    def _send_bucket_versions(
        self, peer: str, digests: tuple[int, ...]
    ) -> list[ReplicaAction]:
        own = self.store.fine_bucket_digests
        differing = [
            index for index in range(FINE_BUCKET_COUNT) if own[index] != digests[index]
        ]
        limit = self._settings.datagram_bytes
        actions: list[ReplicaAction] = []
        version_count = 0
        self._random.shuffle(differing)
        for batch in split_batches(differing, self._measure_bucket, limit):
            headers = [h for index in batch for h in self.store.list_headers(index)]
            actions.append(Send(peer, BucketVersions(batch, tuple(headers), False)))
            version_count += len(headers)
            if version_count >= MAX_VERSIONS_PER_DIGEST:
                break
        return actions

    def _measure_bucket(self, fine_bucket: int) -> int:
        headers = self.store.list_headers(fine_bucket)
        return BUCKET_INDEX_BYTES + sum(measure_header(header) for header in headers)

    def _handle_bucket_versions(
        self, sender: str, message: BucketVersions, now: float
    ) -> list[ReplicaAction]:
        actions = self._handle_headers(sender, message.headers, now)
        if len(self._outstanding_pulls) + len(self._queued_pulls) > CATCH_UP_THRESHOLD:
            # Nearly all versions that arrive while this node catches up were announced
            # by others before. The digest exchanges spread any others.
            self._is_catching_up = True
        if message.is_reply:
            return actions
        limit = self._settings.datagram_bytes
        newer = self._list_newer(message)
        if len(newer) > MAX_VERSIONS_PER_DIGEST:
            # So many missing versions put the peer into the catch-up state, in which it
            # sends its digest again as soon as it has received these.
            newer = self._random.sample(newer, MAX_VERSIONS_PER_DIGEST)
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
        if self._peers_generation == self.store.membership_generation:
            return []
        self._peers_generation = self.store.membership_generation
        nodes = self.store.nodes
        live = {name: nodes[name] for name in nodes if not self.store.is_down(name)}
        self._live_by_zone = group_by_zone(live)
        self._heartbeat_candidates = {}
        known = sorted(name for name in nodes if name != self.name)
        self._peers = [name for name in known if name in live]
        self._down_peers = [name for name in known if name not in live]
        if not self._peers:
            self._peers = sorted(self._seeds)
        return self._update_watch()

    def _update_watch(self) -> list[ReplicaAction]:
        names = self._live_by_zone.get(self._zone, [])
        watchers = choose_watchers(self._zone, names, self._settings.watchers_per_zone)
        is_watcher = self.name in watchers
        if is_watcher == self._is_watching:
            return []
        self._is_watching = is_watcher
        return [WatcherRoleChanged(is_watcher)]

    def _send_heartbeats(self) -> list[ReplicaAction]:
        self._sequence += 1
        message = Heartbeat(self._sequence)
        targets = choose_balancers(self.name, self._zone, self._live_by_zone)
        return [
            Send(peer, message)
            for peer in targets or sorted(self._seeds)[:SEED_TARGETS]
        ]

    def _handle_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> list[ReplicaAction]:
        self._record_heard(sender, now)
        relevant = self._list_relevant_versions(sender, message.services)
        if relevant.digest == message.digest:
            return [Send(sender, HeartbeatReply(message.sequence))]
        limit = self._settings.datagram_bytes
        return [
            Send(sender, HeartbeatReply(message.sequence, batch))
            for batch in split_batches(relevant.headers, measure_header, limit)
        ]

    def _list_relevant_versions(
        self, member: str, services: tuple[str, ...]
    ) -> _RelevantVersions:
        """Return the versions that a member needs; cached until the store changes."""
        cache_key = (self.store.generation, services)
        known = self._relevant_versions.get(member)
        if known is None or known.cache_key != cache_key:
            keys = sorted(self._find_relevant_keys(member, services))
            versions = [VersionHeader(k, self.store.get_version(k)) for k in keys]
            digest = self.store.digest_keys(keys)
            known = _RelevantVersions(cache_key, tuple(versions), digest)
            self._relevant_versions[member] = known
        return known

    def _find_relevant_keys(self, member: str, services: tuple[str, ...]) -> set[str]:
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
        keys.update(
            BALANCER_PREFIX + node for node in self._choose_heartbeat_candidates(member)
        )
        return keys

    def _choose_heartbeat_candidates(self, member: str) -> list[str]:
        if member not in self._heartbeat_candidates:
            agent = self.store.agents.get(member)
            zone = "" if agent is None else agent.zone
            self._heartbeat_candidates[member] = choose_balancers(
                member, zone, self._live_by_zone, HEARTBEAT_CANDIDATES_PER_LOCALITY
            )
        return self._heartbeat_candidates[member]

    def _detect_failures(self, now: float) -> list[ReplicaAction]:
        if self._is_isolated(now):
            self._reset_silence_timers(now)
            return []
        cutoff_s = now - PROBE_AFTER_PERIODS * self._settings.heartbeat_period_s
        silent = [
            name for name, heard_s in self._last_heard_s.items() if heard_s <= cutoff_s
        ]
        actions: list[ReplicaAction] = []
        for name in silent:
            actions += self._check_silent_member(name, now)
        return actions

    def _check_silent_member(self, name: str, now: float) -> list[ReplicaAction]:
        """Probe a silent member, and report it down after `down_after_s`.

        A member that sends its heartbeats to other nodes is forgotten instead, unless
        this node monitors it after a false report.
        """
        is_overdue = now - self._last_heard_s[name] >= self._settings.down_after_s
        is_known = self.store.find_member(name) is not None
        is_target = self._is_heartbeat_target_of(name) or (
            is_known and name in self._monitored
        )
        if is_target and not is_overdue:
            return [Send(name, Pull((build_key(self.store.find_member(name)),)))]
        del self._last_heard_s[name]
        self._assumed_heard.discard(name)
        self._relevant_versions.pop(name, None)
        return self._report_down(name, now) if is_target else []

    def _record_heard(self, name: str, now: float) -> None:
        self._last_heard_s[name] = now
        self._assumed_heard.discard(name)

    def _reset_silence_timers(self, now: float) -> None:
        self._last_heard_s = dict.fromkeys(self._last_heard_s, now)
        self._assumed_heard = set(self._last_heard_s)

    def _is_heartbeat_target_of(self, member: str) -> bool:
        # A member may have sent heartbeats here only while it started, and have chosen
        # other balancers since.
        known = self.store.find_member(member)
        if known is None:
            return False
        return is_heartbeat_target(
            self.name, self._zone, member, known.zone, self._live_by_zone
        )

    def _start_missing_silence_timers(self, now: float) -> None:
        """Start the timers of members that should send heartbeats here but have not.

        Otherwise the simultaneous failure of a member and both of its balancers would
        never be reported.
        """
        if not self._members_to_check:
            self._members_to_check = [*self.store.agents, *self.store.nodes]
        checked = self._members_to_check[-MEMBERS_PER_CHECK:]
        del self._members_to_check[-MEMBERS_PER_CHECK:]
        for name in checked:
            if name in self._last_heard_s or not self._needs_silence_timer(name):
                continue
            # The time is set so far back that this node, which has not heard from the
            # member, does not refute another node's down report.
            period_s = self._settings.heartbeat_period_s
            self._last_heard_s[name] = now - REFUTE_WITHIN_PERIODS * period_s

    def _needs_silence_timer(self, name: str) -> bool:
        member = self.store.find_member(name)
        if member is None or name == self.name or self.store.is_down(name):
            return False
        # If there is a down report of the current incarnation, it was refuted, as the
        # member is not down: other nodes reach the member even if this one does not.
        reported = self.store.get_version(LIVENESS_PREFIX + name)
        if reported and get_incarnation(reported) == member.incarnation:
            return False
        return self._is_heartbeat_target_of(name)

    def _is_isolated(self, now: float) -> bool:
        """Return whether this node got no message for `down_after_s`.

        It is then probably disconnected itself, and reports no other member down.
        """
        return now - self._last_contact_s >= self._settings.down_after_s

    def _report_down(self, name: str, now: float) -> list[ReplicaAction]:
        incarnation = self.store.find_member(name).incarnation
        key = LIVENESS_PREFIX + name
        version = compute_down_version(incarnation, self.store.get_version(key))
        return self._accept(build_liveness_report(key, version), "", now)

    def _send_down_report(self, sender: str) -> list[ReplicaAction]:
        """Send `sender` any down report about it, so that it can refute the report."""
        if not self.store.is_down(sender):
            return []
        key = LIVENESS_PREFIX + sender
        header = VersionHeader(key, self.store.get_version(key))
        return [Send(sender, VersionHeaders((header,)))]


def _is_urgent(header: VersionHeader) -> bool:
    """Return whether a version is announced immediately even during a burst."""
    if header.key.startswith(LIVENESS_PREFIX):
        # A refutation returns a healthy member to service. A down report may wait.
        return not is_down_version(header.version)
    return header.key.startswith(WATCHED_PREFIXES)
