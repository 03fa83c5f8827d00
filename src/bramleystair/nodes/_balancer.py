"""Process of a balancer that chooses the owners of flows."""

import random as random_module
from collections.abc import Callable, Iterable
from typing import Any

from result import Result

from bramleystair.errors import StepError
from bramleystair.logs import get_logger
from bramleystair.loop import EventLoop
from bramleystair.mirror import Mirror, ObjectStore, RetryQueue, StoredItem
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._node import NodeBase, subscribe_once
from bramleystair.nodes._reload import SettingsChange
from bramleystair.nodes._settings import MEMBER_KIND, NodeSettings, PacketCodec
from bramleystair.nodes._snapshots import SnapshotClient, SnapshotServer
from bramleystair.steering import (
    Action,
    ConfirmMembers,
    Message,
    ReturnPacket,
    RoutingRules,
    decode_entry,
)
from bramleystair.steering.balancer import BalancerSteering, BalancerSteeringSettings

log = get_logger("balancer")

# After two failed checks, half a second apart, callers' packets go to other nodes;
# the rest covers packets on their way.
WITHDRAW_S = 1.8
# Each change ends the watch of each balancer, which is a call; changes come in series.
# The operator's have to be in force within seconds. Members may wait longer, since the
# agents refuse what their servers must not get.
GATHER_S = 0.4
MEMBER_GATHER_S = 1.0
# A watch brings a change within the pause above; one that went silent does not.
BEHIND_S = 1.5
# Lookups of a balancer that takes over many flows must leave the link to the callers.
LOOKUP_LINK_SHARE = 0.2
# Share of the time before SIGKILL that may be used for leaving.
GRACE_SHARE = 0.6


class BalancerNode(NodeBase):
    """Run one balancer.

    Parameters
    ----------
    loop, settings, codec, store
        See `NodeBase`.
    rules_kind, evacuation_kind : str
        Kinds under which the operator writes.
    read_rules : callable
        Returns the configuration in an object, or an error.
    random : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: NodeSettings,
        codec: PacketCodec,
        store: ObjectStore,
        rules_kind: str,
        evacuation_kind: str,
        read_rules: Callable[[Any], Result[RoutingRules, StepError]],
        random: random_module.Random,
    ) -> None:
        super().__init__(loop, settings, codec, store)
        self._read_rules = read_rules
        self._behind_since_s: float | None = None
        self._is_confirming = False
        self._steering = BalancerSteering(
            BalancerSteeringSettings(
                owner_lifetime_s=settings.flow_lifetime_s,
                lookup_bytes_per_s=LOOKUP_LINK_SHARE * settings.link_bytes_per_s,
            ),
            random,
            settings.zone,
            settings.name,
        )
        self._messages = DatagramSocket(
            loop, settings.message_address, self._take_message, self.metrics
        )
        timers = loop.timers
        retries = RetryQueue(timers, random)
        self._rules = Mirror(
            store, rules_kind, timers, retries, self._set_rules, GATHER_S
        )
        self._evacuations = Mirror(
            store, evacuation_kind, timers, retries, self._set_evacuations, GATHER_S
        )
        # Members that are some seconds old cost time only, since the agents decide. A
        # flow is reset after the copy was brought up to date.
        self._members = Mirror(
            store,
            MEMBER_KIND,
            timers,
            retries,
            self._set_members,
            MEMBER_GATHER_S,
            allow_stale=True,
        )
        self._mirrors = {
            "rules": self._rules,
            "evacuations": self._evacuations,
            "members": self._members,
        }
        self._serve(settings.message_address, SnapshotServer(self._mirrors).answer)
        self._snapshots = SnapshotClient(loop, settings.peers, self._mirrors)

    def start(self) -> None:
        """Begin to read the store; packets are handled from now on."""
        for mirror in self._mirrors.values():
            mirror.start()
        self._snapshots.start()
        self._schedule()

    def stop(self) -> None:
        """Withdraw from the rotation, forward for a while, then end."""
        if self._is_stopping:
            return
        self._is_stopping = True
        delay_s = min(WITHDRAW_S, GRACE_SHARE * self._settings.grace_s)
        log.info("withdrawing", extra={"seconds": delay_s})
        subscribe_once(self._loop, delay_s, self._end)

    def _end(self) -> None:
        self._handle(self._steering.shut_down(self._loop.clock.now()))
        self._loop.stop()

    def is_ready(self) -> bool:
        """Return whether all objects are known and members are heard.

        A balancer that is cut off from all members leaves the rotation, so that its
        flows reach their servers through others.
        """
        return (
            self._steering.rules is not None
            and all(mirror.is_complete for mirror in self._mirrors.values())
            and not self._steering.is_isolated(self._loop.clock.now())
        )

    def close(self) -> None:
        """Close all sockets."""
        super().close()
        self._messages.close()

    def _use_settings(self, change: SettingsChange) -> None:
        settings = change.settings
        self._steering.set_owner_lifetime(settings.flow_lifetime_s)
        self._snapshots.peers = settings.peers
        if "store_address" in change.applied:
            for mirror in self._mirrors.values():
                mirror.restart()

    def _compute_wait(self, now: float) -> float:
        return self._steering.compute_wait(now)

    def _run_timers(self, now: float) -> Iterable[Action]:
        self._check_version(now)
        return self._steering.run_timers(now)

    def _check_version(self, now: float) -> None:
        """List the configuration again if others apply a newer one for a while."""
        rules = self._steering.rules
        if rules is None or self._steering.newest_rules_version <= rules.version:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = now
        elif now - self._behind_since_s > BEHIND_S:
            self._behind_since_s = now
            self._rules.restart()

    def _carry_out(self, action: Action) -> None:
        if not isinstance(action, ConfirmMembers):
            super()._carry_out(action)
            return
        if not self._is_confirming:
            self._is_confirming = True
            self._members.confirm_current(self._confirm_members)

    def _confirm_members(self) -> None:
        self._is_confirming = False
        now = self._loop.clock.now()
        self._handle(self._steering.confirm_members(now))

    def _take_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.decode_inbound(data)
        if segment is None:
            self.metrics.count("packet_dropped", "malformed")
            return
        now = self._loop.clock.now()
        self._handle(self._steering.handle_segment(segment, now))

    def _respond(
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
        for item in items.values():
            result = self._read_rules(item.value)
            if result.is_err():
                self.metrics.count("object_ignored", "rules")
                log.warning("configuration ignored: %s", result.unwrap_err())
                continue
            rules = result.unwrap()
            self._steering.set_rules(rules)
            log.info(
                "configuration",
                extra={
                    "version": rules.version,
                    "routes": len(rules.routes),
                    "in_force": self._steering.rules.version,
                },
            )
        self._schedule()

    def _set_evacuations(self, items: dict[str, StoredItem]) -> None:
        log.info("evacuated zones", extra={"zones": sorted(items)})
        self._steering.set_evacuated_zones(items)
        self._schedule()

    def _set_members(self, items: dict[str, StoredItem]) -> None:
        entries = []
        for item in items.values():
            result = decode_entry(item.value)
            if result.is_err():
                self.metrics.count("object_ignored", "member")
                log.warning("%s ignored: %s", item.name, result.unwrap_err())
                continue
            entries.append(result.unwrap())
        log.info("members", extra={"count": len(entries)})
        self._steering.set_members(entries, self._loop.clock.now())
        self._schedule()
