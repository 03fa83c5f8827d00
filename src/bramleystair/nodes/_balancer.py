"""Balancer process, which assigns flows to agents and forwards their packets."""

import random as random_module
from collections.abc import Callable, Iterable
from typing import Any

from result import Result

from bramleystair.errors import StepError
from bramleystair.logs import LogLimit, get_logger
from bramleystair.loop import EventLoop
from bramleystair.mirror import (
    REWRITE_TIMEOUT_S,
    Mirror,
    ObjectStore,
    RetryQueue,
    StoredItem,
    abbreviate_names,
)
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._node import NodeBase, call_later
from bramleystair.nodes._object_classes import build_balancer_classes
from bramleystair.nodes._reload import SettingsChange
from bramleystair.nodes._roster_writer import RosterWriter
from bramleystair.nodes._settings import MEMBER_KIND, NodeSettings, PacketCodec
from bramleystair.nodes._snapshots import SnapshotClient, SnapshotServer
from bramleystair.steering import (
    Action,
    ConfirmMembers,
    EntryChange,
    EntryCondition,
    MemberEntry,
    Message,
    ReturnPacket,
    RoutingRules,
    decode_entry,
    is_node_host,
)
from bramleystair.steering.balancer import (
    BalancerSteering,
    BalancerSteeringSettings,
    RosterSchedule,
    is_roster_name,
)

log = get_logger("balancer")

# Time from the first failing readiness check to the stop. The router checks every half
# second, and sends callers' packets to other nodes after two failed checks; the
# remaining time is for packets in transit.
WITHDRAWAL_DELAY_S = 1.8
# Delays between a change and the next watch. Each change completes the watch call of
# every balancer, and changes come in bursts, so a delay combines several of them in one
# call. The operator's changes must be in force within seconds. Changes of members may
# take longer, since agents refuse flows that their servers must not get.
OPERATOR_BATCH_DELAY_S = 0.4
MEMBER_BATCH_DELAY_S = 1.0
# Waits of the checks for changes whose response was lost. With the timeout of a call, a
# change by the operator is in force within 4 s even if the store's responses are lost.
# The list of members may be older, as agents decide on each flow.
OPERATOR_CHECK_PERIOD_S = 2.0
MEMBER_CHECK_PERIOD_S = 4.0
# A working watch delivers a change within the delay above. If other nodes have had a
# newer configuration (the routing rules) for this long, the watch has stalled and the
# configuration is listed again.
OUTDATED_RULES_TIMEOUT_S = 1.5
# Share of the link capacity that lookups may use. A balancer that takes over many flows
# looks up all of them, and needs the rest of the link for the traffic of callers.
LOOKUP_LINK_FRACTION = 0.2
# Share of the time between SIGTERM and SIGKILL that the withdrawal may take.
WITHDRAWAL_GRACE_FRACTION = 0.6


class BalancerNode(NodeBase):
    """Balancer: assigns flows to agents and forwards packets.

    Parameters
    ----------
    loop, settings, codec, store
        See `NodeBase`.
    rules_kind, evacuation_kind : str
        Kinds of the store's objects that hold the configuration and the evacuated
        zones, both written by the operator.
    rules_name : str
        Name of the object that holds the configuration.
    parse_rules : callable
        Parses the routing rules in the value of an object, or returns an error.
    random : random.Random
        Source of randomness for steering and retries.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: NodeSettings,
        codec: PacketCodec,
        store: ObjectStore,
        rules_kind: str,
        rules_name: str,
        evacuation_kind: str,
        parse_rules: Callable[[Any], Result[RoutingRules, StepError]],
        random: random_module.Random,
    ) -> None:
        super().__init__(loop, settings, codec, store)
        self._rules_name = rules_name
        self._parse_rules = parse_rules
        # Objects of the members as of their last update, by name.
        self._member_items: dict[str, StoredItem] = {}
        # Names of members whose objects are missing.
        self._missing_entries: set[str] = set()
        self._entry_log = LogLimit(loop.clock)
        self._outdated_since_s: float | None = None
        self._is_confirming = False
        self._steering = BalancerSteering(
            BalancerSteeringSettings(
                owner_lifetime_s=settings.flow_lifetime_s,
                lookup_bytes_per_s=LOOKUP_LINK_FRACTION * settings.link_bytes_per_s,
                options=settings.options,
            ),
            random,
            settings.zone,
            settings.name,
        )
        self._message_socket = DatagramSocket(
            loop, settings.message_address, self._handle_message_datagram, self.metrics
        )
        classes = build_balancer_classes(
            settings, rules_kind, rules_name, evacuation_kind
        )
        timers = loop.timers
        retries = RetryQueue(timers, random)
        self._rules = Mirror(
            store,
            rules_kind,
            timers,
            retries,
            self.metrics,
            self._set_rules,
            OPERATOR_BATCH_DELAY_S,
            check_period_s=OPERATOR_CHECK_PERIOD_S,
            classes=classes[rules_kind],
        )
        self._evacuations = Mirror(
            store,
            evacuation_kind,
            timers,
            retries,
            self.metrics,
            self._set_evacuations,
            OPERATOR_BATCH_DELAY_S,
            check_period_s=OPERATOR_CHECK_PERIOD_S,
            classes=classes[evacuation_kind],
            is_known=self._is_zone,
        )
        # The list of members may be some seconds old: this only delays flows, since the
        # agents decide on each flow. Before a flow is reset, the list is confirmed as
        # current.
        self._members = Mirror(
            store,
            MEMBER_KIND,
            timers,
            retries,
            self.metrics,
            self._set_members,
            MEMBER_BATCH_DELAY_S,
            allow_stale=True,
            check_period_s=MEMBER_CHECK_PERIOD_S,
            classes=classes[MEMBER_KIND],
            is_known=self._is_member_host,
        )
        self._roster_schedule = RosterSchedule(settings.name, not settings.peers)
        self._rosters = RosterWriter(
            store,
            MEMBER_KIND,
            settings.packet_address[1],
            self._steering.members,
            self._roster_schedule,
            loop.clock,
            random,
            self.metrics,
            self._may_write_rosters,
            self._handle_roster_change,
        )
        self._mirrors = {
            "rules": self._rules,
            "evacuations": self._evacuations,
            "members": self._members,
        }
        self._add_http_server(
            settings.message_address, SnapshotServer(self._mirrors).answer
        )
        self._snapshots = SnapshotClient(loop, settings.peers, self._mirrors)
        store.epoch.subscribe(self._handle_restoration)

    def start(self) -> None:
        """Start to read the store and to run timers."""
        for mirror in self._mirrors.values():
            mirror.start()
        self._snapshots.start()
        self._schedule_timer()

    def stop(self) -> None:
        """Fail readiness, forward packets for the withdrawal delay, then stop.

        Returns at once; the loop is stopped after the delay.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        delay_s = min(
            WITHDRAWAL_DELAY_S, WITHDRAWAL_GRACE_FRACTION * self._settings.grace_s
        )
        log.info("withdrawing from service", extra={"seconds": delay_s})
        call_later(self._loop, delay_s, self._finish_stop)

    def _finish_stop(self) -> None:
        self._execute(self._steering.shut_down(self._loop.clock.now()))
        self._loop.stop()

    def is_ready(self) -> bool:
        """Return whether the store's objects are known and members are reachable.

        A balancer that cannot reach any member is not ready. The router then sends the
        packets of its flows to other balancers, which forward them.
        """
        return (
            self._steering.rules is not None
            and all(mirror.is_complete for mirror in self._mirrors.values())
            and not self._steering.is_isolated(self._loop.clock.now())
        )

    def close(self) -> None:
        """Close all sockets."""
        super().close()
        self._message_socket.close()

    def _apply_change(self, change: SettingsChange) -> None:
        settings = change.settings
        self._steering.set_owner_lifetime(settings.flow_lifetime_s)
        self._snapshots.peers = settings.peers
        self._roster_schedule.is_alone = not settings.peers
        if "store_address" in change.applied:
            self._rosters.forget()
            for mirror in self._mirrors.values():
                mirror.restart()

    def _compute_wait(self, now: float) -> float:
        return self._steering.compute_wait(now)

    def _run_timers(self, now: float) -> Iterable[Action]:
        self._refresh_outdated_rules(now)
        self._rosters.run(now)
        return self._steering.run_timers(now)

    def _may_write_rosters(self, now: float) -> bool:
        """Return whether this balancer knows what a roster is to name."""
        return (
            not self._is_stopping
            and self._members.is_connected
            and self._members.revision > 0
            and not self._steering.members.may_be_incomplete(now)
            and not self._steering.is_isolated(now)
        )

    def _refresh_outdated_rules(self, now: float) -> None:
        """List the configuration again if other nodes have had a newer one for long."""
        rules = self._steering.rules
        if rules is None or self._steering.newest_rules_version <= rules.version:
            self._outdated_since_s = None
        elif self._outdated_since_s is None:
            self._outdated_since_s = now
        elif now - self._outdated_since_s > OUTDATED_RULES_TIMEOUT_S:
            self._outdated_since_s = now
            self._rules.restart()

    def _execute_action(self, action: Action) -> None:
        if not isinstance(action, ConfirmMembers):
            super()._execute_action(action)
            return
        if not self._is_confirming:
            self._is_confirming = True
            self._members.confirm_current(self._handle_members_confirmed)

    def _handle_members_confirmed(self) -> None:
        self._is_confirming = False
        now = self._loop.clock.now()
        self._execute(self._steering.handle_members_confirmed(now))

    def _handle_restoration(self) -> None:
        now = self._loop.clock.now()
        self._execute(
            self._steering.handle_restoration(
                self._store.epoch.current, now + REWRITE_TIMEOUT_S, now
            )
        )

    def _handle_packet_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.decode_inbound(data)
        if segment is None:
            self.metrics.count("packet_dropped", "malformed")
            return
        now = self._loop.clock.now()
        self._execute(self._steering.handle_segment(segment, now))

    def _handle_message(
        self, message: Message, sender: tuple[str, int], now: float
    ) -> Iterable[Action]:
        if not isinstance(message, ReturnPacket):
            return self._steering.handle_message(sender, message, now)
        segment = self._codec.decode_inbound(message.data)
        if segment is None:
            self.metrics.count("message_dropped", "malformed")
            return ()
        return self._steering.handle_returned_packet(sender, segment, now)

    def _set_rules(self, items: dict[str, StoredItem]) -> None:
        item = items.get(self._rules_name)
        if item is None:
            return
        result = self._parse_rules(item.value)
        if result.is_err():
            self.metrics.count("object_ignored", "rules")
            log.warning("configuration ignored: %s", result.unwrap_err())
            return
        rules = result.unwrap()
        self._steering.set_rules(rules)
        log.info(
            "configuration received",
            extra={
                "version": rules.version,
                "routes": len(rules.routes),
                "in_force": self._steering.rules.version,
            },
        )
        self._schedule_timer()

    def _set_evacuations(self, items: dict[str, StoredItem]) -> None:
        log.info(
            "evacuated zones updated",
            extra={"count": len(items), "zones": abbreviate_names(items)},
        )
        for zone in self._settings.zones:
            self.metrics.set_gauge("zone_evacuated", int(zone in items), zone)
        self._steering.set_evacuated_zones(items)
        self._schedule_timer()

    def _set_members(self, items: dict[str, StoredItem]) -> None:
        entries, changes = [], []
        roster = self._rosters.read(items, self._members.revision)
        for item in items.values():
            if is_roster_name(item.name):
                continue
            result = decode_entry(item.name, item.value)
            if result.is_ok():
                entries.append(result.unwrap())
            known = self._member_items.get(item.name)
            if known == item:
                continue
            if result.is_err():
                self._ignore_entry(item, result.unwrap_err())
            condition = self._classify(result, is_new=known is None)
            if condition is not None:
                changes.append((item.name, condition, item.revision))
        # An entry that is still missing may have been written and removed again since.
        self._missing_entries = {
            name
            for name in self._missing_entries
            | self._member_items.keys()
            | self._steering.members.list_unlisted_hosts()
            if name not in items and self._is_member_host(name)
        }
        changes += [
            (name, EntryCondition.MISSING, self._members.revision)
            for name in self._missing_entries
        ]
        self._member_items = items
        log.info("members updated", extra={"count": len(entries)})
        self._execute(
            self._steering.set_members(
                entries, self._loop.clock.now(), self._build_changes(changes), roster
            )
        )

    def _ignore_entry(self, item: StoredItem, error: StepError) -> None:
        self.metrics.count("object_ignored", "member")
        if self._entry_log.permits():
            log.warning(
                "entry of member %s ignored: %s",
                item.name,
                item.problem or error,
                extra={"revision": item.revision},
            )

    def _handle_roster_change(self) -> None:
        """Use what the responses to this balancer's own writes have shown."""
        roster = self._rosters.read(self._members.items, self._members.revision)
        self._execute(self._steering.set_roster(roster, self._loop.clock.now()))

    def _classify(
        self, result: Result[MemberEntry, StepError], is_new: bool
    ) -> EntryCondition | None:
        """Return the condition of a changed entry, or None if it is a new member's."""
        if result.is_err():
            return EntryCondition.UNREADABLE
        address = result.unwrap().address
        if address[1] != self._settings.packet_address[1]:
            return EntryCondition.OTHER_PORT
        if is_new and not self._is_member_host(address[0]):
            return None
        return EntryCondition.READABLE

    def _is_zone(self, name: str) -> bool:
        return name in self._settings.zones

    def _is_member_host(self, host: str) -> bool:
        address = host, self._settings.packet_address[1]
        return self._steering.members.get(address) is not None

    def _build_changes(
        self, changes: list[tuple[str, EntryCondition, int]]
    ) -> list[EntryChange]:
        """Return the changes of objects that may be agents' by their names."""
        port = self._settings.packet_address[1]
        epoch = self._store.epoch.current or 0
        return [
            EntryChange((name, port), condition, epoch, revision)
            for name, condition, revision in changes
            if is_node_host(name)
        ]
