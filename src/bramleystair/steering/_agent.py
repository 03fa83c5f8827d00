"""Decisions of an agent: which flows its backend server takes and holds."""

from collections import deque

import attrs

from bramleystair.steering._admission import Admission
from bramleystair.steering._agent_flows import (
    AgentFlow,
    is_newest,
    is_other_number,
    starts_request,
)
from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._events import (
    Action,
    DeliverToCaller,
    DeliverToServer,
    ResetCaller,
)
from bramleystair.steering._messages import (
    LoadReport,
    LookupProbe,
    LookupReply,
    LookupRequest,
    OfferSlot,
    OpenFlow,
    OpenReply,
    Ownership,
    Refusal,
    ReturnPacket,
    Subscribe,
)
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._segments import (
    Segment,
)
from bramleystair.steering._types import (
    Address,
    Load,
    MemberEntry,
    ServerReport,
    ServerState,
    compute_service_id,
)

# Reports are sent at about the interval, the first one soon after the start.
START_MARGIN_HEARTBEATS = 1.5


@attrs.define(eq=False)
class _Lookup:
    """A balancer's question that a returned packet would answer with no."""

    balancer: Address
    token: int
    due_s: float


class AgentSteering:
    """Admit new flows to the backend server and answer for those that it holds.

    Parameters
    ----------
    address : tuple of str and int
        Where this agent receives messages.
    zone : str
        Availability zone of the agent.
    settings : AgentSteeringSettings
        Times and limits.
    now : float
        Time of the start in seconds.
    started_ms : int
        Time of day at which the process started, or 0 if that is not known.
    """

    def __init__(
        self,
        address: Address,
        zone: str,
        settings: AgentSteeringSettings,
        now: float,
        started_ms: int = 0,
    ) -> None:
        self._address = address
        self._zone = zone
        self._started_ms = started_ms
        self._settings = settings
        self._report: ServerReport | None = None
        self._reported_s = now
        # Whether the report was derived from a health check instead of received.
        self._is_assumed = False
        # Whether nobody listened at the server's address when this agent started.
        self.is_server_absent = False
        # The last server that took its leave; its late reports are ignored.
        self._removed: tuple[str, int] | None = None
        self._service_id = 0
        self._flows: dict[bytes, AgentFlow] = {}
        self._lookups: dict[bytes, list[_Lookup]] = {}
        self._lookup_due: deque[tuple[float, bytes]] = deque()
        self._learning_until_s = now + settings.flow_lifetime_s
        self._admission = Admission(settings)
        self._server_s = now
        self._unanswered_s: float | None = None
        self._subscribers: dict[Address, float] = {}
        self._rules_version = 0
        self._next_report_s = now
        self._purged_s = now
        self._is_stopping = False
        self._outbox = Outbox()

    @property
    def has_report(self) -> bool:
        """Whether the server's state is known, or was assumed."""
        return self._report is not None

    @property
    def flow_count(self) -> int:
        """Number of flows remembered."""
        return len(self._flows)

    def build_entry(self) -> MemberEntry | None:
        """Return what to publish, or None while no server is known."""
        report = self._report
        if report is None or self._is_assumed:
            return None
        return MemberEntry(
            self._address,
            self._zone,
            report.service,
            report.state,
            report.slots,
            report.server,
            report.started_ms,
        )

    def set_timing(self, heartbeat_s: float, flow_lifetime_s: float) -> None:
        """Change the interval of reports and the lifetime of idle flows."""
        self._settings = attrs.evolve(
            self._settings, heartbeat_s=heartbeat_s, flow_lifetime_s=flow_lifetime_s
        )

    def compute_wait(self, now: float) -> float:
        """Return the seconds until `run_timers` has something to do."""
        due_s = min(self._next_report_s, self._admission.due_s)
        if self._lookup_due:
            due_s = min(due_s, self._lookup_due[0][0])
        return max(0.0, due_s - now)

    def handle_report(self, report: ServerReport, now: float) -> list[Action]:
        """Take over the server's report on itself; a late one is ignored."""
        known = self._report
        if _identify(report) == self._removed:
            self._outbox.count("report_ignored", "removed")
            return self._outbox.take()
        if known is not None and self._is_late(report, known, now):
            self._outbox.count("report_ignored", "late")
            return self._outbox.take()
        self._server_s = now
        self._reported_s = now
        # A server that reports gets another first packet, even if one went unanswered.
        self._unanswered_s = None
        is_new = known is None or _identify(report) != _identify(known)
        if is_new and known is not None and not self._is_assumed:
            # Entries stay until the new server returns their packets.
            self._learning_until_s = now + self._settings.flow_lifetime_s
            self._admission.reset(now)
            self._release_former(report, now)
        elif is_new and self._has_seen_start(report):
            self._learning_until_s = now
        self._report = report
        self.is_server_absent = False
        self._is_assumed = False
        self._service_id = compute_service_id(report.service)
        self._admission.set_cold(report.cold_left_s, now)
        if is_new or report.state is not known.state:
            self._outbox.log(
                "server_report",
                b"",
                report.state.value,
                server=report.server,
                sequence=report.sequence,
                cold_left_s=report.cold_left_s,
            )
            self._send_reports(now)
        return self._outbox.take()

    def assume_ready(self, service: str, now: float) -> list[Action]:
        """Take the server for ready after a successful health check.

        This holds until its first report. It counts as cold, since nothing is known
        of its start.
        """
        if self._report is not None or self._removed is not None:
            return []
        self._is_assumed = True
        self.is_server_absent = False
        self._report = ServerReport(
            "", service, self._zone, ServerState.READY, self._settings.assumed_slots
        )
        self._service_id = compute_service_id(service)
        self._admission.set_cold(self._settings.assumed_cold_s, now)
        self._server_s = now
        self._outbox.log("server_report", b"", "assumed_ready")
        self._send_reports(now)
        return self._outbox.take()

    def set_server_absent(self) -> None:
        """Note that no server runs, until one reports or sends a packet.

        A server that has just lost its power holds no flow, so lookups need not wait.
        """
        self.is_server_absent = self._report is None

    def remove_server(self, server: str, now: float) -> list[Action]:
        """Note that the server says it is gone; another server's word is ignored."""
        if self._report is None or self._report.server != server:
            self._outbox.count("report_ignored", "other_server")
            return self._outbox.take()
        self._outbox.log("server_report", b"", "gone", server=server)
        self._removed = _identify(self._report)
        self._report = None
        self._send_reports(now)
        return self._outbox.take()

    def stop(self, now: float) -> list[Action]:
        """Refuse new flows and tell the balancers so."""
        self._is_stopping = True
        self._send_reports(now)
        return self._outbox.take()

    def handle_open(
        self, sender: Address, message: OpenFlow, segment: Segment, now: float
    ) -> list[Action]:
        """Take or refuse a new flow."""
        flow = self._flows.get(segment.flow)
        if flow is not None and flow.first_sequence == segment.sequence:
            self._handle_copy(sender, message, segment, flow, now)
            return self._outbox.take()
        # A slot that was offered to the sender is free for this flow.
        self._admission.settle_offer(sender)
        self._admission.record_urgency(message.urgency, now)
        refusal = self._check_admission(message, now)
        waiting = [message.waiting] if message.waiting is not None else []
        if refusal is Refusal.BUSY:
            waiting.append(message.urgency)
        self._admission.set_waiting(sender, min(waiting, default=None), now)
        if refusal is not Refusal.NONE:
            self._refuse(sender, message.token, segment.flow, refusal, now)
            return self._outbox.take()
        if flow is not None:
            self._remove_flow(segment.flow, now)
        self._flows[segment.flow] = AgentFlow(
            sender, now, message.token, segment.sequence, now
        )
        self._admission.admit(segment.flow, now)
        if self._unanswered_s is None:
            self._unanswered_s = now
        self._deliver(segment)
        self._reply(sender, message.token, Refusal.NONE, now)
        self._offer_slots(now)
        return self._outbox.take()

    def handle_decline(self, sender: Address, now: float) -> list[Action]:
        """Offer a slot that a balancer has no use for to another one."""
        self._admission.settle_offer(sender)
        self._admission.set_waiting(sender, None, now)
        self._offer_slots(now)
        return self._outbox.take()

    def handle_relay(
        self, sender: Address, segment: Segment, now: float
    ) -> list[Action]:
        """Deliver a packet that the sender believes belongs here."""
        flow = self._flows.get(segment.flow)
        if flow is not None:
            if self._is_other_handshake(flow, segment):
                self._outbox.send(sender, ReturnPacket(segment.data))
                return self._outbox.take()
            self._deliver_known(sender, flow, segment, now)
            return self._outbox.take()
        if not self._may_hold_unknown(now):
            self._outbox.send(sender, ReturnPacket(segment.data))
            return self._outbox.take()
        self._deliver_known(sender, self._learn(sender, segment, now), segment, now)
        return self._outbox.take()

    def handle_lookup(
        self, sender: Address, message: LookupRequest, now: float
    ) -> list[Action]:
        """Answer a lookup."""
        flow = self._flows.get(message.flow)
        if flow is None:
            may_hold = self._may_hold_unknown(now)
            ownership = Ownership.UNSURE if may_hold else Ownership.NONE
        elif is_other_number(flow, message.acknowledgement):
            ownership = Ownership.NONE
        elif flow.is_certain or flow.server_sequence is not None:
            ownership = Ownership.CERTAIN
        else:
            ownership = Ownership.UNSURE
        self._answer(sender, message.token, ownership)
        return self._outbox.take()

    def handle_lookup_probe(
        self, sender: Address, message: LookupProbe, segment: Segment, now: float
    ) -> list[Action]:
        """Let the server decide whether it holds the packet's flow."""
        flow = self._flows.get(segment.flow)
        if flow is None and self.is_server_absent:
            self._answer(sender, message.token, Ownership.NONE)
            return self._outbox.take()
        if flow is None:
            flow = self._learn(sender, segment, now)
        elif self._is_other_handshake(flow, segment):
            self._answer(sender, message.token, Ownership.NONE)
            return self._outbox.take()
        self._deliver_known(sender, flow, segment, now)
        if flow.is_certain:
            self._answer(sender, message.token, Ownership.CERTAIN)
        else:
            self._await_return(sender, message.token, segment.flow, now)
        return self._outbox.take()

    def handle_server_segment(self, segment: Segment, now: float) -> list[Action]:
        """Handle a packet that the server sent."""
        self._server_s = now
        self._unanswered_s = None
        self.is_server_absent = False
        if segment.is_returned:
            self._handle_returned(segment, now)
            return self._outbox.take()
        flow = self._flows.get(segment.flow)
        if flow is None:
            flow = self._flows[segment.flow] = AgentFlow(None, now)
        flow.seen_s = now
        flow.server_s = now
        if segment.is_syn:
            flow.server_sequence = segment.sequence
        elif not flow.is_certain:
            flow.is_certain = True
            self._confirm(segment.flow)
        if segment.has_payload and flow.request_s is not None:
            self._outbox.observe("response", now - flow.request_s)
            self._admission.meter.end_request(flow.request_s, now)
            flow.request_s = None
        if segment.is_reset or segment.is_fin:
            self._admission.discard(segment.flow)
            self._end_request(flow, now)
        self._outbox.add(DeliverToCaller(segment.flow, segment.data))
        self._offer_slots(now)
        return self._outbox.take()

    def handle_subscription(
        self, sender: Address, message: Subscribe, now: float
    ) -> list[Action]:
        """Send load reports to a balancer from now on."""
        is_new = sender not in self._subscribers
        self._subscribers[sender] = now
        self._rules_version = max(self._rules_version, message.rules_version)
        if is_new:
            self._outbox.send(sender, self._build_report(now))
        return self._outbox.take()

    def run_timers(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        while self._lookup_due and self._lookup_due[0][0] <= now:
            _, flow = self._lookup_due.popleft()
            self._confirm_likely(flow, now)
        self._offer_slots(now)
        if now >= self._next_report_s:
            self._next_report_s = now + max(
                self._settings.report_period_s,
                self._settings.report_gap_s * len(self._subscribers),
            )
            self._send_reports(now)
            self._purge(now)
        return self._outbox.take()

    def is_server_silent(self, now: float) -> bool:
        """Return whether the server neither reports nor answers."""
        settings = self._settings
        silence_s = settings.silent_heartbeats * settings.heartbeat_s
        if now - self._server_s > silence_s:
            return True
        since_s = self._unanswered_s
        return since_s is not None and now - since_s > settings.first_reply_s

    def build_load(self, now: float) -> Load:
        """Return the present load."""
        self._admission.meter.update(now)
        report = self._report
        if report is None:
            # The agent of an unknown server may be stopped because its VM goes away.
            return Load(is_accepting=False)
        is_accepting = (
            not self._is_stopping
            and not self.is_server_silent(now)
            and not self._admission.is_busy(report.slots, now)
        )
        return Load(
            report.state,
            report.slots,
            self._admission.count(now),
            self._admission.meter.mean_running,
            len(self._flows),
            self._admission.meter.service_s,
            self._admission.is_cold(now),
            is_accepting,
            self._is_stopping,
        )

    def _is_late(self, report: ServerReport, known: ServerReport, now: float) -> bool:
        if _identify(report) == _identify(known):
            return report.sequence < known.sequence
        # The wall clock may have been set back since the known server started.
        settings = self._settings
        silence_s = settings.silent_heartbeats * settings.heartbeat_s
        is_known_alive = now - self._reported_s < silence_s
        return is_known_alive and report.started_ms < known.started_ms

    def _has_seen_start(self, report: ServerReport) -> bool:
        """Return whether every flow of the server went through this process.

        The cold time guards against a time of day that was set back after the server
        had started.
        """
        margin_ms = self._settings.start_margin_s * 1000
        is_younger = report.started_ms >= self._started_ms - margin_ms
        return bool(self._started_ms) and report.cold_left_s > 0 and is_younger

    def _may_hold_unknown(self, now: float) -> bool:
        """Return whether the server may hold flows that this agent has not seen."""
        return now < self._learning_until_s and not self.is_server_absent

    def _check_admission(self, message: OpenFlow, now: float) -> Refusal:
        report = self._report
        if self._is_stopping:
            return Refusal.STOPPING
        if report is None:
            return Refusal.UNKNOWN_SERVER
        if message.service_id != self._service_id:
            return Refusal.WRONG_SERVICE
        if report.state is ServerState.DRAINING:
            return Refusal.DRAINING
        if self.is_server_silent(now):
            return Refusal.SILENT
        if self._admission.is_too_cold(message.cold_rate, now):
            return Refusal.COLD
        if self._admission.is_busy(report.slots, now, message.urgency):
            return Refusal.BUSY
        return Refusal.NONE

    def _offer_slots(self, now: float) -> None:
        """Offer free slots to the balancers whose callers wait for one."""
        report = self._report
        if report is None or report.state is not ServerState.READY:
            return
        if self._is_stopping or self.is_server_silent(now):
            return
        while True:
            balancer = self._admission.keep_slot(report.slots, now)
            if balancer is None:
                return
            self._outbox.count("slot_offered", "free")
            self._outbox.send(balancer, OfferSlot())

    def _release_former(self, report: ServerReport, now: float) -> None:
        """Reset the flows of a server that has been replaced by `report`'s.

        A flow may belong to the new server if it was seen after that server started;
        such flows stay until the server returns their packets.
        """
        intervals = report.sequence + START_MARGIN_HEARTBEATS
        started_s = now - intervals * self._settings.heartbeat_s
        for key, flow in list(self._flows.items()):
            flow.request_s = None
            is_former = flow.server_s is not None and flow.server_s < started_s
            if is_former and flow.is_certain and flow.first_s < started_s:
                self._release(key, flow, "server_replaced", now)
            else:
                flow.is_certain = False

    def _release(self, key: bytes, flow: AgentFlow, reason: str, now: float) -> None:
        self._remove_flow(key, now)
        self._outbox.count("flow_released", reason)
        if not flow.acknowledgement:
            return
        self._outbox.add(ResetCaller(key, flow.acknowledgement))
        self._outbox.log("reset", key, reason)

    def _handle_copy(
        self,
        sender: Address,
        message: OpenFlow,
        segment: Segment,
        flow: AgentFlow,
        now: float,
    ) -> None:
        waited_s = now - flow.first_s
        if flow.server_sequence is None and waited_s > self._settings.first_reply_s:
            self._remove_flow(segment.flow, now)
            self._refuse(sender, message.token, segment.flow, Refusal.SILENT, now)
            return
        flow.balancer, flow.token, flow.seen_s = sender, message.token, now
        self._deliver(segment)
        self._reply(sender, message.token, Refusal.NONE, now)

    def _is_other_handshake(self, flow: AgentFlow, segment: Segment) -> bool:
        """Return whether the caller completed the handshake with another server."""
        if segment.is_reset or flow.is_open or flow.server_sequence is None:
            return False
        if is_other_number(flow, segment.acknowledgement):
            return True
        flow.is_open = True
        return False

    def _learn(self, sender: Address, segment: Segment, now: float) -> AgentFlow:
        flow = self._flows[segment.flow] = AgentFlow(sender, now, is_open=True)
        return flow

    def _deliver_known(
        self, sender: Address, flow: AgentFlow, segment: Segment, now: float
    ) -> None:
        flow.balancer = sender
        flow.seen_s = now
        flow.acknowledgement = segment.acknowledgement
        if starts_request(flow, segment):
            flow.request_s = now
            self._admission.start_request(segment.flow, now)
        if is_newest(flow, segment):
            flow.newest_sequence = segment.sequence
        if segment.is_reset or segment.is_fin:
            self._admission.discard(segment.flow)
            self._end_request(flow, now)
        self._deliver(segment)

    def _handle_returned(self, segment: Segment, now: float) -> None:
        flow = self._flows.get(segment.flow)
        lookups = self._lookups.pop(segment.flow, ())
        for lookup in lookups:
            self._answer(lookup.balancer, lookup.token, Ownership.NONE)
        if flow is None:
            self._outbox.count("packet_dropped", "returned_unknown")
            return
        self._remove_flow(segment.flow, now)
        if segment.is_syn:
            if flow.token is not None and flow.balancer is not None:
                self._refuse(
                    flow.balancer, flow.token, segment.flow, Refusal.RETURNED, now
                )
            return
        if lookups or flow.balancer is None:
            return
        self._outbox.log(
            "returned", segment.flow, "not_held", was_certain=flow.is_certain
        )
        self._outbox.send(flow.balancer, ReturnPacket(segment.data))

    def _await_return(
        self, sender: Address, token: int, flow: bytes, now: float
    ) -> None:
        due_s = now + self._settings.return_wait_s
        self._lookups.setdefault(flow, []).append(_Lookup(sender, token, due_s))
        self._lookup_due.append((due_s, flow))

    def _confirm(self, flow: bytes) -> None:
        for lookup in self._lookups.pop(flow, ()):
            self._answer(lookup.balancer, lookup.token, Ownership.CERTAIN)

    def _confirm_likely(self, flow: bytes, now: float) -> None:
        lookups = self._lookups.get(flow, [])
        due = [lookup for lookup in lookups if lookup.due_s <= now]
        rest = [lookup for lookup in lookups if lookup.due_s > now]
        if rest:
            self._lookups[flow] = rest
        else:
            self._lookups.pop(flow, None)
        for lookup in due:
            if not self.is_server_silent(now):
                self._answer(lookup.balancer, lookup.token, Ownership.LIKELY)

    def _remove_flow(self, flow: bytes, now: float) -> None:
        known = self._flows.pop(flow, None)
        self._admission.discard(flow)
        if known is not None:
            self._end_request(known, now)

    def _end_request(self, flow: AgentFlow, now: float) -> None:
        if flow.request_s is not None:
            self._admission.meter.end_request(None, now)
            flow.request_s = None

    def _purge(self, now: float) -> None:
        settings = self._settings
        if now - self._purged_s < settings.stuck_after_s / 2:
            return
        self._purged_s = now
        for key, flow in self._flows.items():
            if (
                flow.request_s is not None
                and now - flow.request_s > settings.stuck_after_s
            ):
                self._outbox.count("request_stuck", "no_response")
                self._outbox.log(
                    "request",
                    key,
                    "stuck",
                    seconds=round(now - flow.request_s, 1),
                    is_certain=flow.is_certain,
                )
                self._end_request(flow, now)
        oldest_s = now - settings.flow_lifetime_s
        for key in [k for k, flow in self._flows.items() if flow.seen_s < oldest_s]:
            self._remove_flow(key, now)

    def _send_reports(self, now: float) -> None:
        oldest_s = now - self._settings.subscription_s
        for address, subscribed_s in list(self._subscribers.items()):
            if subscribed_s < oldest_s:
                del self._subscribers[address]
        if not self._subscribers:
            return
        report = self._build_report(now)
        for address in self._subscribers:
            self._outbox.send(address, report)

    def _build_report(self, now: float) -> LoadReport:
        return LoadReport(self.build_load(now), self._rules_version)

    def _refuse(
        self, sender: Address, token: int, flow: bytes, refusal: Refusal, now: float
    ) -> None:
        reason = refusal.name.lower()
        self._outbox.count("flow_refused", reason)
        self._outbox.log("open", flow, reason, running=self._admission.count(now))
        self._reply(sender, token, refusal, now)

    def _reply(self, sender: Address, token: int, refusal: Refusal, now: float) -> None:
        reply = OpenReply(token, refusal, self.build_load(now))
        self._outbox.send(sender, reply)

    def _answer(self, sender: Address, token: int, ownership: Ownership) -> None:
        self._outbox.send(sender, LookupReply(token, ownership))

    def _deliver(self, segment: Segment) -> None:
        self._outbox.add(DeliverToServer(segment.data))


def _identify(report: ServerReport) -> tuple[str, int]:
    return report.server, report.started_ms
