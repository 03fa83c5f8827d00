"""Replica of a balancer: gossip, failure detection and watcher selection."""

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

# Number of balancers in a member's own zone, and again in other zones, that the member
# learns of: the one it uses and a fallback.
OFFERED_PER_LOCALITY = 2
# Pause of this process after which it may have missed heartbeats that were sent.
PAUSE_THRESHOLD_S = 1.0
# A member from which nothing was received for longer than this is probed on each tick.
PROBE_AFTER_PERIODS = 2.0
# A down report is refuted if a message of the member was received within this many
# heartbeat periods.
REFUTE_WITHIN_PERIODS = 1.5
# At 100 members per second, 9,100 agents and 1,200 balancers are checked in 103 s.
# Detection depends on this check only if a member and both of its balancers fail
# together.
MONITOR_CHECK_PERIOD_S = 1.0
MONITOR_CHECK_BATCH = 100
# Maximum number of versions listed in response to one digest, about 20 KB.
MAX_LISTED_VERSIONS = 400
# If more versions than this are missing after a digest exchange, the node is catching
# up and does not announce the versions that it receives.
CATCH_UP_THRESHOLD = 64
# Announcements and down reports beyond this number are delayed until the next tick and
# sent together, so that a burst takes one message for 20 headers instead of one for
# each.
ANNOUNCEMENTS_PER_TICK = 8


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
        XOR of the hashes of `headers`.
    """

    cache_key: tuple[int, tuple[str, ...]]
    headers: tuple[VersionHeader, ...]
    digest: int


class BalancerReplica(Replica):
    """Hold all objects, propagate new versions and detect failed members.

    Parameters
    ----------
    node, zone, region : str
        Name, availability zone and region of the balancer.
    incarnation : int
        Incarnation of this process, below 2**47 and above those of earlier processes of
        the same name.
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
        self._next_heartbeat = 0.0
        self._next_digest = 0.0
        self._last_heard: dict[str, float] = {}
        self._last_contact_at = 0.0
        self._next_monitor_check = 0.0
        self._unchecked_members: list[str] = []
        self._is_watching = False
        self._unannounced: dict[str, list[VersionHeader]] = {}
        self._announcement_count = 0
        self._peers_generation = -1
        self._offered_balancers: dict[str, list[str]] = {}
        self._relevant_versions: dict[str, _RelevantVersions] = {}
        self._peers: list[str] = sorted(self._seeds)
        self._down_peers: list[str] = []
        self._live_by_zone: dict[str, list[str]] = {}
        self._is_catching_up = False
        self._own_announced: dict[str, int] = {}

    def handle(self, event: ReplicaEvent, now: float) -> list[ReplicaAction]:
        """Process `event`, which occurred at `now` seconds, and return the actions."""
        pause, actions = self.owner.check_pause(now)
        if pause >= PAUSE_THRESHOLD_S:
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
        """Treat the own objects as already announced to peers; used by benchmarks."""
        for key in (self.owner.key, self.owner.liveness_key):
            self._own_announced[key] = self.store.get_version(key)

    def _handle_message(self, sender: str, message, now: float) -> list[ReplicaAction]:
        self._last_contact_at = now
        if sender in self._last_heard:
            self._last_heard[sender] = now
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
        actions = self.owner.renew_lease(now) + self._continue_pulls(now)
        self._is_catching_up &= bool(self._pulls)
        actions += self._update_peers()
        actions += self._detect_failures(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self._settings.heartbeat_period_s
            actions += self._send_heartbeats()
        if now >= self._next_digest:
            self._next_digest = now + self._settings.digest_period_s
            actions += self._send_digests()
        if now >= self._next_monitor_check:
            self._next_monitor_check = now + MONITOR_CHECK_PERIOD_S
            self._monitor_unheard_members(now)
        return actions

    # Propagation of versions

    def _handle_platform_objects(
        self, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        for item in objects:
            if self._is_ignored(item.key):
                continue
            is_expiry = not item.body and item.key.startswith(LISTED_PREFIXES)
            if is_expiry and not self._is_reported_down(item.key):
                continue
            actions += self._accept(self.store.normalise_version(item), "", now)
        return actions

    def _is_ignored(self, key: str) -> bool:
        prefixes = WATCHED_PREFIXES + LISTED_PREFIXES
        return not key.startswith(prefixes) or self.owner.owns(key)

    def _remove_expired(
        self, prefix: str, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        """Remove unlisted announcements of members that are reported down.

        Live members are kept, because they are missing from the list after a platform
        outage longer than a lease.
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
                tombstone = self.store.normalise_version(StoredObject(item.key))
                actions += self._accept(tombstone, "", now)
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
            version = compute_refutation_version(item.version)
            self.store.put(build_liveness_report(item.key, version))
            # An empty sender excludes no peer: the sender of the report needs the
            # refutation too.
            sender = ""
        if not self._is_catching_up:
            self._queue_announcement(item.key, sender)
        return actions

    def _is_refutable(self, report: StoredObject, now: float) -> bool:
        """Return whether `report` is about a member that was heard from recently."""
        name = report.key.removeprefix(LIVENESS_PREFIX)
        if name == report.key or not self.store.is_down(name):
            return False
        heard = self._last_heard.get(name)
        limit = REFUTE_WITHIN_PERIODS * self._settings.heartbeat_period_s
        return heard is not None and now - heard < limit

    def _queue_announcement(self, key: str, sender: str) -> None:
        header = VersionHeader(key, self.store.get_version(key))
        self._unannounced.setdefault(sender, []).append(header)

    def _queue_own_announcements(self) -> None:
        for key in (self.owner.key, self.owner.liveness_key):
            version = self.store.get_version(key)
            if version > self._own_announced.get(key, 0):
                self._own_announced[key] = version
                self._queue_announcement(key, "")

    def _announce_versions(self, is_tick: bool) -> list[ReplicaAction]:
        self._queue_own_announcements()
        if is_tick and len(self._unannounced) > 1:
            merged = [header for rest in self._unannounced.values() for header in rest]
            self._unannounced = {"": merged}
        if is_tick:
            self._announcement_count = 0
        waiting: dict[str, list[VersionHeader]] = {}
        actions: list[ReplicaAction] = []
        for sender, headers in self._unannounced.items():
            if self._announcement_count >= ANNOUNCEMENTS_PER_TICK:
                waiting[sender] = [h for h in headers if not _is_urgent(h)]
                headers = [h for h in headers if _is_urgent(h)]
            if headers:
                self._announcement_count += 1
                actions += self._send_headers(sender, headers)
        self._unannounced = {sender: rest for sender, rest in waiting.items() if rest}
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

    def _handle_headers(
        self,
        sender: str,
        headers: Iterable[VersionHeader],
        now: float,
    ) -> list[ReplicaAction]:
        actions = self._send_own_objects(sender, headers)
        liveness_headers = [h for h in headers if h.key.startswith(LIVENESS_PREFIX)]
        for header in liveness_headers:
            if not self.owner.owns(header.key):
                report = build_liveness_report(header.key, header.version)
                actions += self._accept(report, sender, now)
        return actions + self._request_newer(sender, headers, now)

    def _handle_objects(
        self, sender: str, objects: Iterable[StoredObject], now: float
    ) -> list[ReplicaAction]:
        actions = self._accept_all(sender, objects, now)
        if self._is_catching_up and not self._pulls:
            # All listed versions have arrived. Request the next ones at once instead of
            # waiting for the next digest period.
            actions.append(Send(sender, Digest(tuple(self.store.digest))))
        self._is_catching_up &= bool(self._pulls)
        return actions

    def _send_digests(self) -> list[ReplicaAction]:
        message = Digest(tuple(self.store.digest))
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
        if digests != tuple(self.store.digest):
            actions.append(Send(sender, Digest(tuple(self.store.fine_digest))))
        return actions

    def _send_bucket_versions(
        self, peer: str, digests: tuple[int, ...]
    ) -> list[ReplicaAction]:
        own = self.store.fine_digest
        differing = [
            index for index in range(FINE_BUCKET_COUNT) if own[index] != digests[index]
        ]
        limit = self._settings.datagram_bytes
        actions: list[ReplicaAction] = []
        listed = 0
        self._random.shuffle(differing)
        for batch in split_batches(differing, self._measure_bucket, limit):
            headers = [h for index in batch for h in self.store.list_headers(index)]
            actions.append(Send(peer, BucketVersions(batch, tuple(headers), False)))
            listed += len(headers)
            if listed >= MAX_LISTED_VERSIONS:
                break
        return actions

    def _measure_bucket(self, fine_bucket: int) -> int:
        headers = self.store.list_headers(fine_bucket)
        return 1 + sum(measure_header(header) for header in headers)

    def _handle_bucket_versions(
        self, sender: str, message: BucketVersions, now: float
    ) -> list[ReplicaAction]:
        actions = self._handle_headers(sender, message.headers, now)
        if len(self._pulls) + len(self._queue) > CATCH_UP_THRESHOLD:
            # The peers already hold the versions that arrive while this node catches
            # up, so they are not announced.
            self._is_catching_up = True
        if message.is_reply:
            return actions
        limit = self._settings.datagram_bytes
        newer = self._list_newer(message)
        if len(newer) > MAX_LISTED_VERSIONS:
            # The peer sends another digest after it has received these versions.
            newer = self._random.sample(newer, MAX_LISTED_VERSIONS)
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
        self._offered_balancers = {}
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
        return [Send(peer, message) for peer in targets or sorted(self._seeds)[:2]]

    def _handle_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> list[ReplicaAction]:
        self._last_heard[sender] = now
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
        keys.update(BALANCER_PREFIX + node for node in self._offer_balancers(member))
        return keys

    def _offer_balancers(self, member: str) -> list[str]:
        if member not in self._offered_balancers:
            agent = self.store.agents.get(member)
            zone = "" if agent is None else agent.zone
            self._offered_balancers[member] = choose_balancers(
                member, zone, self._live_by_zone, OFFERED_PER_LOCALITY
            )
        return self._offered_balancers[member]

    def _detect_failures(self, now: float) -> list[ReplicaAction]:
        if self._is_isolated(now):
            self._reset_silence_timers(now)
            return []
        limit = now - PROBE_AFTER_PERIODS * self._settings.heartbeat_period_s
        silent = [name for name, heard in self._last_heard.items() if heard <= limit]
        actions: list[ReplicaAction] = []
        for name in silent:
            actions += self._check_silent_member(name, now)
        return actions

    def _check_silent_member(self, name: str, now: float) -> list[ReplicaAction]:
        """Probe a silent member, or report it down after `down_after_s`."""
        is_over = now - self._last_heard[name] >= self._settings.down_after_s
        is_monitored = self._is_heartbeat_target_of(name)
        if is_monitored and not is_over:
            return [Send(name, Pull((build_key(self.store.find_member(name)),)))]
        del self._last_heard[name]
        self._relevant_versions.pop(name, None)
        return self._report_down(name, now) if is_monitored else []

    def _reset_silence_timers(self, now: float) -> None:
        self._last_heard = dict.fromkeys(self._last_heard, now)

    def _is_heartbeat_target_of(self, member: str) -> bool:
        # A member may have sent heartbeats here only while it started, and have chosen
        # other balancers since.
        known = self.store.find_member(member)
        if known is None:
            return False
        return is_heartbeat_target(
            self.name, self._zone, member, known.zone, self._live_by_zone
        )

    def _monitor_unheard_members(self, now: float) -> None:
        """Monitor members that should send heartbeats to this node, but have not.

        Otherwise the simultaneous failure of a member and both of its balancers would
        never be reported.
        """
        if not self._unchecked_members:
            self._unchecked_members = [*self.store.agents, *self.store.nodes]
        checked = self._unchecked_members[-MONITOR_CHECK_BATCH:]
        del self._unchecked_members[-MONITOR_CHECK_BATCH:]
        for name in checked:
            if name in self._last_heard or not self._needs_monitoring(name):
                continue
            # Old enough that a down report from another node is not refuted.
            period_s = self._settings.heartbeat_period_s
            self._last_heard[name] = now - REFUTE_WITHIN_PERIODS * period_s

    def _needs_monitoring(self, name: str) -> bool:
        member = self.store.find_member(name)
        if member is None or name == self.name or self.store.is_down(name):
            return False
        # A refuted report shows that other nodes reach the member, even if this one
        # does not.
        reported = self.store.get_version(LIVENESS_PREFIX + name)
        if reported and get_incarnation(reported) == member.incarnation:
            return False
        return self._is_heartbeat_target_of(name)

    def _is_isolated(self, now: float) -> bool:
        """Return whether this node itself appears to be disconnected."""
        return now - self._last_contact_at >= self._settings.down_after_s

    def _report_down(self, name: str, now: float) -> list[ReplicaAction]:
        incarnation = self.store.find_member(name).incarnation
        key = LIVENESS_PREFIX + name
        version = compute_down_version(incarnation, self.store.get_version(key))
        return self._accept(build_liveness_report(key, version), "", now)

    def _send_down_report(self, sender: str) -> list[ReplicaAction]:
        """Send a member that is reported down the report, so that it can refute it."""
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
