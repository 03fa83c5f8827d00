"""Replica of an agent: heartbeats, the objects of its services, and its lease."""

from collections.abc import Iterable
from random import Random

from bramleystair.actions import Send
from bramleystair.replicas._assignment import (
    choose_balancers,
    group_by_zone,
    rank_names,
)
from bramleystair.replicas._batches import measure_header, split_batches
from bramleystair.replicas._events import (
    DrainRequested,
    LoadsChanged,
    MessageArrived,
    ReplicaAction,
    ReplicaEvent,
    ReplicaSettings,
    Tick,
)
from bramleystair.replicas._replica import Replica
from bramleystair.tables import BALANCER_PREFIX, AgentAnnouncement, AgentState
from bramleystair.wire import (
    Heartbeat,
    HeartbeatReply,
    LoadReport,
    Objects,
    Pull,
    ServiceLoad,
    StoredObject,
    VersionHeader,
    VersionHeaders,
)

# A balancer that did not reply to heartbeats is excluded for this time, unless no other
# balancer is available.
EXCLUSION_S = 30.0
HEARTBEAT_TARGETS = 2


class AgentReplica(Replica):
    """Hold the objects relevant to one backend server and renew its announcement.

    Parameters
    ----------
    server, zone : str
        Name of the backend server and its availability zone.
    incarnation : int
        Incarnation of this process, below 2**47 and above those of earlier processes of
        the same name.
    services : tuple of str
        Services that the backend server can serve.
    settings : ReplicaSettings
        Address, seeds, periods and size limits.
    random : Random
        Source of all random choices.
    """

    def __init__(
        self,
        server: str,
        zone: str,
        incarnation: int,
        services: tuple[str, ...],
        settings: ReplicaSettings,
        random: Random,
    ) -> None:
        announcement = AgentAnnouncement(
            server,
            zone,
            settings.host,
            settings.port,
            incarnation,
            AgentState.READY,
            tuple(services),
        )
        super().__init__(server, announcement, settings.seeds, settings, random)
        self._zone = zone
        self._loads: tuple[ServiceLoad, ...] = ()
        self._sequence = 0
        self._next_heartbeat = 0.0
        self._relevant_keys: dict[str, tuple[int, set[str]]] = {}
        self._unanswered: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}

    def handle(self, event: ReplicaEvent, now: float) -> list[ReplicaAction]:
        """Process `event`, which occurred at `now` seconds, and return the actions."""
        _, actions = self.owner.check_pause(now)
        match event:
            case MessageArrived(sender, message):
                actions += self._handle_message(sender, message, now)
            case Tick():
                actions += self._handle_tick(now)
            case LoadsChanged(loads):
                self._loads = loads
            case DrainRequested():
                actions += self._drain(now)
        return actions + self._emit_view()

    def _handle_message(self, sender: str, message, now: float) -> list[ReplicaAction]:
        match message:
            case HeartbeatReply():
                return self._handle_heartbeat_reply(sender, message, now)
            case VersionHeaders(headers):
                actions = self._send_own_objects(sender, headers)
                return actions + self._request_newer(sender, headers, now)
            case Pull():
                return self._handle_pull(sender, message)
            case Objects(objects):
                return self._accept_all(sender, objects, now)
        return []

    def _handle_tick(self, now: float) -> list[ReplicaAction]:
        actions = self.owner.renew_lease(now) + self._continue_pulls(now)
        if now < self._next_heartbeat:
            return actions
        self._next_heartbeat = now + self._settings.heartbeat_period_s
        return actions + self._send_heartbeats(now) + self._send_loads()

    def _drain(self, now: float) -> list[ReplicaAction]:
        if self.owner.announcement.state is AgentState.DRAINING:
            return []
        self.owner.update(state=AgentState.DRAINING)
        # Sent without waiting for the next heartbeat, because no new work may arrive
        # later than 3 s after the announcement.
        actions = self.owner.renew_lease(now)
        for peer in self._choose_targets(now):
            actions += self._send_objects(peer, [self.store.get(self.owner.key)])
        return actions

    def _send_heartbeats(self, now: float) -> list[ReplicaAction]:
        self._sequence += 1
        self._exclude_unresponsive(now)
        is_draining = self.owner.announcement.state is AgentState.DRAINING
        services = self._list_services()
        actions: list[ReplicaAction] = []
        for peer in self._choose_targets(now):
            self._unanswered.setdefault(peer, now)
            _, keys = self._relevant_keys.get(peer, (0, set()))
            digest = self.store.digest_keys(keys)
            actions.append(
                Send(
                    peer,
                    Heartbeat(
                        self._sequence, is_draining, digest, self._loads, services
                    ),
                )
            )
        return actions

    def _send_loads(self) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        loads_by_server: dict[str, list[ServiceLoad]] = {}
        tables = {table.service_id: table for table in self.store.tables.values()}
        for load in self._loads:
            table = tables.get(load.service_id)
            for member in () if table is None else table.members:
                loads_by_server.setdefault(member.server, []).append(load)
        for server, loads in loads_by_server.items():
            is_live = server in self.store.agents and not self.store.is_down(server)
            if server != self.name and is_live:
                actions.append(Send(server, LoadReport(tuple(loads))))
        return actions

    def _exclude_unresponsive(self, now: float) -> None:
        limit = now - self._settings.down_after_s
        for peer, since in list(self._unanswered.items()):
            if since <= limit:
                del self._unanswered[peer]
                self._excluded_until[peer] = now + EXCLUSION_S

    def _choose_targets(self, now: float) -> list[str]:
        excluded = {peer for peer, until in self._excluded_until.items() if now < until}
        targets: list[str] = []
        for names in (self._list_offered_balancers(), self.store.nodes, self._seeds):
            for is_available in (True, False):
                usable = [n for n in names if is_available == (n not in excluded)]
                targets += self._rank_targets(usable, targets)
                if len(targets) >= HEARTBEAT_TARGETS:
                    return targets[:HEARTBEAT_TARGETS]
        return targets

    def _rank_targets(
        self, names: Iterable[str], already_chosen: list[str]
    ) -> list[str]:
        nodes = self.store.nodes
        names = [name for name in names if name not in already_chosen]
        known = {name: nodes[name] for name in names if name in nodes}
        chosen = choose_balancers(self.name, self._zone, group_by_zone(known))
        return chosen + [n for n in rank_names(self.name, names) if n not in chosen]

    def _list_offered_balancers(self) -> set[str]:
        nodes = self.store.nodes
        offered = set()
        for _, keys in self._relevant_keys.values():
            for key in keys:
                name = key.removeprefix(BALANCER_PREFIX)
                if name != key and name in nodes:
                    offered.add(name)
        return offered

    def _list_services(self) -> tuple[str, ...]:
        announced = self.owner.announcement.services
        held = self.store.list_services(self.name)
        return tuple(sorted({*announced, *held}))

    def _handle_heartbeat_reply(
        self, sender: str, message: HeartbeatReply, now: float
    ) -> list[ReplicaAction]:
        self._unanswered.pop(sender, None)
        self._excluded_until.pop(sender, None)
        if not message.headers:
            return []
        keys = {header.key for header in message.headers}
        sequence, known = self._relevant_keys.get(sender, (0, set()))
        if sequence == message.sequence:
            keys |= known
        self._relevant_keys[sender] = (message.sequence, keys)
        actions = self._send_own_objects(sender, message.headers)
        actions += self._request_newer(sender, message.headers, now)
        return actions + self._announce_newer(sender, message.headers)

    def _announce_newer(
        self, sender: str, headers: Iterable[VersionHeader]
    ) -> list[ReplicaAction]:
        newer = [
            VersionHeader(header.key, self.store.get_version(header.key))
            for header in headers
            if self.store.get_version(header.key) > header.version
            and not self.owner.owns(header.key)
        ]
        limit = self._settings.datagram_bytes
        return [
            Send(sender, VersionHeaders(batch))
            for batch in split_batches(newer, measure_header, limit)
        ]

    def _accept(
        self, item: StoredObject, sender: str, now: float
    ) -> list[ReplicaAction]:
        return self._put(item)[1]
