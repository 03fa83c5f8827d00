"""Steering logic of an agent: which flows its backend server admits and holds.

A returned packet is a caller's packet that the server sent back because it does not
hold the flow or cannot accept it; see `Segment.is_returned`.
"""

import attrs

from bramleystair.steering._actions import (
    Action,
    DeliverToCaller,
    ResetCaller,
)
from bramleystair.steering._admission import AdmissionControl
from bramleystair.steering._agent_flows import (
    AgentFlow,
    acknowledges_other_server,
)
from bramleystair.steering._agent_lookups import AgentLookups, get_handshake_denial
from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._messages import (
    EntryWithdrawn,
    FlowLost,
    LoadReport,
    LookupProbe,
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
from bramleystair.steering._report_history import (
    ReportHistory,
    Verdict,
    get_identity,
)
from bramleystair.steering._request_tracker import RequestTracker
from bramleystair.steering._segments import Segment
from bramleystair.steering._server_health import ServerHealth
from bramleystair.steering._types import (
    Address,
    Load,
    MemberEntry,
    ServerReport,
    ServerShutdown,
    ServerState,
    compute_service_id,
)
from bramleystair.steering._untracked_flows import UntrackedFlows

# A flow opened within this number of report intervals before the last report of a
# server may have been completed by the server that replaced it.
REPLACEMENT_MARGIN_HEARTBEATS = 1.5
# A server discards flows that were idle for long. Returned packets of flows that it has
# used within this number of report intervals show that it was replaced, since it must
# hold them.
RECENT_USE_HEARTBEATS = 5
# One such flow may have been lost otherwise, for example if its caller used the port
# again.
LOST_FLOWS_OF_REPLACED_SERVER = 2
# Time for which the withdrawal of the entry is announced with each load report: until
# balancers have seen that the entry is gone, even if a response of the store was lost.
WITHDRAWAL_ANNOUNCEMENT_S = 6.0


class AgentSteering:
    """Admit new flows to the backend server and answer lookups of those that it holds.

    Parameters
    ----------
    address : tuple of str and int
        Address at which this agent receives messages.
    zone : str
        Availability zone of the agent.
    settings : AgentSteeringSettings
        Timeouts and limits.
    now : float
        Time of the start in seconds.
    """

    def __init__(
        self,
        address: Address,
        zone: str,
        settings: AgentSteeringSettings,
        now: float,
    ) -> None:
        self._address = address
        self._zone = zone
        self._settings = settings
        self._report: ServerReport | None = None
        # Whether `_report` was assumed after a health check instead of received.
        self._is_report_assumed = False
        self._untracked = UntrackedFlows(settings, now)
        self._reports = ReportHistory(settings)
        # The server in whose place another one reported, and the time of its last
        # report; its flows are marked as `is_former`.
        self._replaced: tuple[ServerReport, float] | None = None
        # Flows that the server must hold and whose packets it returned.
        self._lost_flows: set[bytes] = set()
        # Whether the server that reported its shutdown has left.
        self._has_left = False
        self._service_id = 0
        self._flows: dict[bytes, AgentFlow] = {}
        self._server_last_seen_s = now
        self._unanswered_since_s: float | None = None
        self._subscribers: dict[Address, float] = {}
        self._rules_version = 0
        self._next_load_report_s = now
        self._last_expiry_s = now
        self._is_stopping = False
        self._is_withdrawn = False
        self._withdrawal_announced_until_s = float("-inf")
        self._outbox = Outbox()
        self._lookups = AgentLookups(self._untracked, self._outbox)
        self._health = ServerHealth(
            settings.options.server_faults, self._outbox, self._send_load_reports
        )
        self._admission = AdmissionControl(settings, self._outbox, now)
        self._requests = RequestTracker(
            settings, self._admission, self._health, self._outbox, self._flows
        )

    @property
    def has_report(self) -> bool:
        """Whether the server's state was reported or assumed."""
        return self._report is not None

    @property
    def is_server_absent(self) -> bool:
        """Whether no server listens at the server's address."""
        return self._untracked.is_server_absent

    @property
    def has_shutdown_report(self) -> bool:
        """Whether the server has reported its shutdown, and nothing since."""
        return self._report is None and self._reports.is_removed

    @property
    def flow_count(self) -> int:
        """Number of tracked flows."""
        return len(self._flows)

    def build_entry(self) -> MemberEntry | None:
        """Return the entry to publish, or None while no server has reported.

        The entry of a server that reported its shutdown is kept until it has left:
        another writer may have sent the report, and balancers would take the flows of a
        member without an entry for lost.
        """
        if self._is_report_assumed:
            return None
        report = self._report
        if self._reports.is_removed and not self._has_left:
            report = self._reports.known
        if report is None:
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
        """Set the interval of the server's reports and the lifetime of idle flows."""
        self._settings = attrs.evolve(
            self._settings, heartbeat_s=heartbeat_s, flow_lifetime_s=flow_lifetime_s
        )
        self._reports.settings = self._untracked.settings = self._settings

    def compute_wait(self, now: float) -> float:
        """Return the seconds until `run_timers` is due."""
        due_s = min(
            self._next_load_report_s,
            self._admission.next_offer_expiry_s,
            self._lookups.due_s,
            self._health.compute_due(self._admission.meter.service_s),
            self._requests.next_due_s,
        )
        return max(0.0, due_s - now)

    def handle_report(self, report: ServerReport, now: float) -> list[Action]:
        """Handle a status report of the server.

        An outdated one is ignored. One that contradicts the known server is used once
        it is confirmed; see `ReportHistory`.
        """
        was_removed = self._reports.is_removed
        previous, previous_s = self._reports.known, self._reports.known_s
        match self._reports.judge(report, now):
            case Verdict.OUTDATED:
                reason = "removed" if was_removed else "late"
                self._outbox.count("report_ignored", reason)
                self._untracked.handle_next_report(report, now)
            case Verdict.UNCONFIRMED:
                self._handle_unconfirmed(report, now)
            case Verdict.REPLACED if previous is not None:
                self._replace_server(previous, previous_s, report, now)
            case Verdict.REPLACED:
                self._untracked.handle_first_report(report, now)
                self._use_report(report, now)
            case Verdict.CURRENT:
                self._untracked.handle_next_report(report, now)
                self._use_report(report, now)
        return self._outbox.take()

    def knows_server(self, shutdown: ServerShutdown) -> bool:
        """Return whether the sender of a shutdown report may be the server."""
        return self._reports.knows(shutdown.server, shutdown.started_ms)

    def is_known(self, report: ServerReport) -> bool:
        """Return whether the server in use has reported the same about itself.

        State, slots and cold time may differ.
        """
        known = self._reports.known
        return (
            known is not None
            and get_identity(known) == get_identity(report)
            and (known.service, known.zone) == (report.service, report.zone)
            and known.address == report.address
        )

    def assume_ready(self, service: str, now: float) -> list[Action]:
        """Assume that the server is ready after a successful health check.

        The assumption holds until the first report. The server counts as cold, since
        the time of its start is unknown.
        """
        if self._report is not None or self._reports.is_removed:
            return []
        self._is_report_assumed = True
        self._untracked.set_server_absent(False, now)
        self._report = ServerReport(
            "", service, self._zone, ServerState.READY, self._settings.assumed_slots
        )
        self._service_id = compute_service_id(service)
        self._requests.set_slots(self._settings.assumed_slots, now)
        self._admission.set_cold(self._settings.assumed_cold_s, now)
        self._server_last_seen_s = now
        self._outbox.log("server_report", b"", "assumed_ready")
        self._send_load_reports(now)
        return self._outbox.take()

    def set_server_absent(self, now: float) -> None:
        """Record that no server listens at the server's address.

        The record is cleared once a server reports, passes a health check or sends a
        packet; the call has no effect while a report is held. A server that does not
        listen, as after a power loss, holds no flow, so lookups of untracked flows are
        denied at once.
        """
        self._untracked.set_server_absent(self._report is None, now)

    def handle_server_moved(self) -> None:
        """Record that the server's address was another one than known before.

        What was found at the former address says nothing about the server.
        """
        self._untracked.handle_server_moved()

    def remove_server(self, shutdown: ServerShutdown, now: float) -> list[Action]:
        """Handle a shutdown report of the server; one of another server is ignored.

        The server is used again if it goes on reporting, as the report may come from
        another writer. Its flows are kept.
        """
        report = self._report
        is_known = report is not None and (
            self._is_report_assumed
            or report.server == shutdown.server
            and shutdown.started_ms in (None, report.started_ms)
        )
        if not is_known:
            self._outbox.count("report_ignored", "other_server")
            return self._outbox.take()
        self._outbox.log("server_report", b"", "gone", server=shutdown.server)
        if not self._is_report_assumed:
            self._reports.remove(now)
        self._report = None
        self._requests.set_slots(0, now)
        self._is_report_assumed = False
        self._has_left = False
        self._send_load_reports(now)
        return self._outbox.take()

    def check_exit(self, now: float) -> bool:
        """Return whether the server has left since it reported its shutdown.

        It has if nobody listens at its address, or if it sent neither packets nor
        reports for some intervals.
        """
        settings = self._settings
        last_s = max(self._reports.known_s, self._server_last_seen_s)
        is_silent = now - last_s > settings.silent_heartbeats * settings.heartbeat_s
        if self._reports.is_removed and (self.is_server_absent or is_silent):
            self._has_left = True
        return self._has_left

    def stop(self, now: float) -> list[Action]:
        """Refuse new flows from now on, and announce the restart.

        The announcement goes to the subscribers and to each balancer that forwarded the
        last packet of a flow, since a balancer that has just started may not have
        subscribed yet. It is repeated in case it is lost.
        """
        self._is_stopping = True
        self._requests.stop(now)
        for flow in self._flows.values():
            if flow.last_balancer is not None:
                self._subscribers.setdefault(flow.last_balancer, now)
        self._send_load_reports(now)
        self._next_load_report_s = now + self._settings.stop_report_period_s
        return self._outbox.take()

    def set_withdrawn(self, is_withdrawn: bool, now: float) -> list[Action]:
        """Announce to the subscribers that the entry is withdrawn, or end that.

        Without the announcement, balancers keep looking for an agent without an entry.
        """
        is_new = is_withdrawn and not self._is_withdrawn
        self._is_withdrawn = is_withdrawn
        if not is_withdrawn:
            self._withdrawal_announced_until_s = float("-inf")
        elif is_new:
            self._withdrawal_announced_until_s = now + WITHDRAWAL_ANNOUNCEMENT_S
            for address in self._subscribers:
                self._outbox.send(address, EntryWithdrawn())
        return self._outbox.take()

    def handle_open(
        self, sender: Address, message: OpenFlow, segment: Segment, now: float
    ) -> list[Action]:
        """Admit or refuse a new flow."""
        flow = self._flows.get(segment.flow)
        if flow is not None and flow.first_sequence == segment.sequence:
            self._handle_retransmitted_open(sender, message, segment, flow, now)
            return self._outbox.take()
        self._requests.learn_level(segment.flow, message)
        # A slot that was offered to the sender may be used by this flow.
        self._admission.release_offer(sender)
        self._admission.record_arrival(message.urgency, now)
        refusal = self._check_admission(message, now)
        urgencies = [message.waiting] if message.waiting is not None else []
        if refusal is Refusal.BUSY:
            urgencies.append(message.urgency)
        self._admission.set_waiting_urgency(sender, min(urgencies, default=None), now)
        if refusal is not Refusal.NONE:
            self._refuse_open(sender, message.token, segment.flow, refusal, now)
            return self._outbox.take()
        if flow is not None:
            self._remove_flow(segment.flow, now)
        self._flows[segment.flow] = AgentFlow(
            sender,
            now,
            message.token,
            segment.sequence,
            now,
            caller_position=segment.sequence,
            is_opened_here=True,
            waited_s=message.waited_s,
        )
        self._untracked.forget(segment.flow)
        self._admission.admit(segment.flow, now)
        self._health.record_admission(now)
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now
        self._requests.deliver_untracked(segment)
        self._reply_to_open(sender, message.token, Refusal.NONE, now)
        self._offer_slots(now)
        return self._outbox.take()

    def handle_decline(self, sender: Address, now: float) -> list[Action]:
        """Take back a declined offer and offer the slot to another balancer."""
        self._admission.release_offer(sender)
        self._admission.set_waiting_urgency(sender, None, now)
        self._offer_slots(now)
        return self._outbox.take()

    def handle_relay(
        self, sender: Address, segment: Segment, now: float
    ) -> list[Action]:
        """Deliver a packet of a flow that the sender assigns to this server."""
        self._announce_stop(sender, now)
        flow = self._flows.get(segment.flow)
        if flow is not None:
            if self._is_handshake_with_other_server(
                flow, segment
            ) or self._is_of_other_flow(flow, segment):
                self._outbox.send(sender, ReturnPacket(segment.data))
                return self._outbox.take()
            flow.is_probe_only = False
            self._deliver_tracked(sender, flow, segment, now)
            return self._outbox.take()
        if self._find_denial(segment, now) is not None:
            self._outbox.send(sender, ReturnPacket(segment.data))
            return self._outbox.take()
        self._deliver_tracked(
            sender, self._track_flow(sender, segment, now), segment, now
        )
        return self._outbox.take()

    def handle_lookup(
        self, sender: Address, message: LookupRequest, now: float
    ) -> list[Action]:
        """Answer a lookup."""
        self._announce_stop(sender, now)
        self._lookups.answer(sender, message, self._flows.get(message.flow), now)
        return self._outbox.take()

    def handle_lookup_probe(
        self, sender: Address, message: LookupProbe, segment: Segment, now: float
    ) -> list[Action]:
        """Deliver a packet to find out whether the server holds its flow."""
        flow = self._flows.get(segment.flow)
        if flow is None:
            denial = self._find_denial(segment, now)
        elif self._is_handshake_with_other_server(flow, segment):
            denial = get_handshake_denial(flow)
        else:
            is_other = self._is_of_other_flow(flow, segment)
            denial = Ownership.NONE if is_other else None
        if denial is not None:
            self._lookups.reply(sender, message.token, denial)
            return self._outbox.take()
        if flow is None:
            flow = self._track_flow(sender, segment, now)
            flow.is_probe_only = True
        self._deliver_tracked(sender, flow, segment, now)
        if flow.is_certain:
            self._lookups.reply(sender, message.token, Ownership.CERTAIN)
        else:
            due_s = now + self._settings.return_wait_s
            self._lookups.add_probe(sender, message.token, segment, due_s)
        return self._outbox.take()

    def _find_denial(self, segment: Segment, now: float) -> Ownership | None:
        """Return why the server cannot hold a flow that is not tracked, if so."""
        return self._untracked.find_denial(segment.flow, segment.acknowledgement, now)

    def handle_server_segment(self, segment: Segment, now: float) -> list[Action]:
        """Handle a packet that the server sent."""
        self._server_last_seen_s = now
        self._unanswered_since_s = None
        self._untracked.set_server_absent(False, now)
        if segment.is_returned:
            self._record_lost_flow(segment, now)
            self._handle_returned(segment, now)
            return self._outbox.take()
        flow = self._flows.get(segment.flow)
        was_opened_here = self._untracked.was_opened_here(segment.flow)
        if flow is not None and segment.is_reset and flow.is_probe_only:
            self._handle_reset_of_probe(segment, now)
            return self._outbox.take()
        if flow is not None and not flow.includes_of_server(segment):
            # A later flow of the same port, opened while another process ran here.
            self._outbox.count("flow_mismatch", "server")
            self._remove_flow(segment.flow, now)
            flow = None
        if flow is None:
            flow = AgentFlow(None, now, is_opened_here=was_opened_here)
            self._flows[segment.flow] = flow
        elif not segment.is_syn:
            self._record_held_flow(flow, now)
        if not flow.is_opened_here:
            # An earlier process has passed packets to this server.
            self._untracked.revoke_evidence()
        flow.record_server_packet(segment)
        flow.is_probe_only = False
        flow.last_seen_s = now
        flow.last_server_packet_s = now
        if segment.is_syn:
            flow.server_sequence = segment.sequence
        elif not flow.is_certain:
            flow.is_certain = True
            self._lookups.answer_probes(segment.flow, Ownership.CERTAIN)
        self._requests.handle_server_packet(flow, segment, now)
        self._outbox.add(DeliverToCaller(segment.flow, segment.data))
        self._offer_slots(now)
        return self._outbox.take()

    def handle_subscription(
        self, sender: Address, message: Subscribe, now: float
    ) -> list[Action]:
        """Start or renew the load reports to a balancer."""
        is_new = sender not in self._subscribers
        self._subscribers[sender] = now
        self._rules_version = max(self._rules_version, message.rules_version)
        if is_new:
            self._outbox.send(sender, self._build_report(now))
        return self._outbox.take()

    def run_timers(self, now: float) -> list[Action]:
        """Run what is due and return the actions."""
        self._lookups.answer_due(now, self.is_server_silent(now))
        self._health.check_overdue(self._admission.meter.service_s, now)
        self._requests.run_timers(now)
        self._offer_slots(now)
        self._use_draining_server(now)
        if now >= self._next_load_report_s:
            self._next_load_report_s = now + self._compute_report_period()
            self._send_load_reports(now)
            self._expire_requests_and_flows(now)
        return self._outbox.take()

    def _compute_report_period(self) -> float:
        settings = self._settings
        if self._is_stopping:
            return settings.stop_report_period_s
        return max(
            settings.report_period_s, settings.report_gap_s * len(self._subscribers)
        )

    def is_server_silent(self, now: float) -> bool:
        """Return whether the server stopped reporting or answering first packets."""
        settings = self._settings
        silence_s = settings.silent_heartbeats * settings.heartbeat_s
        if now - self._server_last_seen_s > silence_s:
            return True
        since_s = self._unanswered_since_s
        return since_s is not None and now - since_s > settings.first_reply_s

    def build_load(self, now: float) -> Load:
        """Return the current load."""
        report = self._report
        if report is None:
            # `is_stopping` makes balancers wait for the agent to come back. Without a
            # server it stays false, as the VM may be shutting down for good.
            return Load(is_accepting=False, is_failing=self._health.is_enabled)
        is_silent = self.is_server_silent(now)
        is_failing = self._health.is_failing(now) or (
            is_silent and self._health.is_enabled
        )
        load = self._admission.build_load(report, is_silent, now)
        return attrs.evolve(
            load,
            flows=len(self._flows),
            is_accepting=load.is_accepting and not (self._is_stopping or is_failing),
            is_stopping=self._is_stopping,
            is_failing=is_failing,
        )

    def _use_report(self, report: ServerReport, now: float) -> None:
        previous = self._report
        self._end_silence(now)
        self._report = report
        self._untracked.set_server_absent(False, now)
        self._is_report_assumed = False
        self._service_id = compute_service_id(report.service)
        self._admission.use_report(report, now)
        self._health.set_slots(report.slots)
        self._requests.set_slots(report.slots, now)
        is_new = previous is None or get_identity(report) != get_identity(previous)
        if is_new or report.state is not previous.state:
            self._outbox.log(
                "server_report",
                b"",
                report.state.value,
                server=report.server,
                sequence=report.sequence,
                cold_left_s=report.cold_left_s,
            )
            self._send_load_reports(now)

    def _handle_unconfirmed(self, report: ServerReport, now: float) -> None:
        """Handle a report of a server that may not be the one at the address.

        A server that has just started reports it soon, so its cold time holds at once.
        If the known one was the other writer, this agent may not have seen all flows.
        """
        self._end_silence(now)
        self._untracked.revoke_evidence()
        self._admission.extend_cold(report.cold_left_s, now)
        self._outbox.count("report_ignored", "unconfirmed")
        self._outbox.log(
            "server_report",
            b"",
            "unconfirmed",
            server=report.server,
            started_ms=report.started_ms,
            sequence=report.sequence,
            state=report.state.value,
        )

    def _end_silence(self, now: float) -> None:
        """Admit new flows again, even if a first packet was not answered."""
        self._server_last_seen_s = now
        self._unanswered_since_s = None

    def _use_draining_server(self, now: float) -> None:
        if not self._reports.has_other_server:
            return
        previous, previous_s = self._reports.known, self._reports.known_s
        report = self._reports.take_draining(now)
        if report is not None:
            self._replace_server(previous, previous_s, report, now)

    def _replace_server(
        self,
        previous: ServerReport,
        previous_s: float,
        report: ServerReport,
        now: float,
    ) -> None:
        """Use another server, which may hold the flows of the previous one or not.

        The server itself decides: it returns packets of flows that it does not hold.
        """
        self._untracked.handle_replacement(now)
        former = self._replaced
        if former is not None and get_identity(former[0]) == get_identity(report):
            # The former server was not gone, so its flows need no confirmation.
            self._outbox.count("server_replaced", "returned")
            self._forget_replaced()
            self._use_report(report, now)
            return
        self._requests.replace_server(now)
        self._outbox.count("server_replaced", "reported")
        self._replaced = previous, previous_s
        self._lost_flows.clear()
        for flow in self._flows.values():
            flow.is_former = flow.is_certain and self._is_held_since(flow, previous_s)
            flow.is_certain = False
        self._use_report(report, now)

    def _is_held_since(self, flow: AgentFlow, known_s: float) -> bool:
        """Return whether a flow belongs to the server that was known at `known_s`."""
        margin_s = REPLACEMENT_MARGIN_HEARTBEATS * self._settings.heartbeat_s
        return flow.opened_s < known_s - margin_s

    def _record_held_flow(self, flow: AgentFlow, now: float) -> None:
        """Use a packet of the server as evidence on who it is.

        A server that sends on a flow of the former server is the former one.
        """
        if (
            self._reports.has_other_server
            and flow.is_certain
            and self._is_held_since(flow, self._reports.known_s)
        ):
            self._reports.refute_other_servers()
        if not flow.is_former or self._replaced is None:
            return
        previous, _ = self._replaced
        self._outbox.log(
            "server_report",
            b"",
            "refuted",
            server=self._reports.known.server,
            former=previous.server,
        )
        self._outbox.count("server_replaced", "refuted")
        self._forget_replaced()
        self._reports.restore(previous, now)
        self._use_report(previous, now)

    def _record_lost_flow(self, segment: Segment, now: float) -> None:
        """Use a returned packet as evidence that the server was replaced.

        Its other flows are reset once this is certain, so that no caller sends a
        request on one.
        """
        flow = self._flows.get(segment.flow)
        if flow is None or segment.is_syn or not self._must_hold(flow, now):
            return
        if flow.is_certain and self._reports.has_other_server:
            previous, previous_s = self._reports.known, self._reports.known_s
            report = self._reports.take_other_server(now)
            self._replace_server(previous, previous_s, report, now)
        if not flow.is_former:
            return
        self._lost_flows.add(segment.flow)
        if len(self._lost_flows) < LOST_FLOWS_OF_REPLACED_SERVER:
            return
        for key, other in list(self._flows.items()):
            if other.is_former and key != segment.flow:
                self._release_flow(key, other, "server_replaced", now)
        self._forget_replaced()

    def _must_hold(self, flow: AgentFlow, now: float) -> bool:
        """Return whether the server would only lose a flow by its own end."""
        if flow.is_closing or not flow.opened_s or flow.last_server_packet_s is None:
            return False
        recent_s = RECENT_USE_HEARTBEATS * self._settings.heartbeat_s
        return (
            now - flow.last_server_packet_s < recent_s
            and now - flow.opened_s < self._settings.flow_lifetime_s / 2
        )

    def _forget_replaced(self) -> None:
        self._replaced = None
        self._lost_flows.clear()
        for flow in self._flows.values():
            flow.is_former = False

    def _check_admission(self, message: OpenFlow, now: float) -> Refusal:
        report = self._report
        if self._is_stopping:
            return Refusal.STOPPING
        if report is None:
            return Refusal.UNKNOWN_SERVER
        # A server that has reported another service may already be at the address.
        if message.service_id != self._service_id or self._reports.has_other_service:
            return Refusal.WRONG_SERVICE
        if report.state is ServerState.DRAINING:
            return Refusal.DRAINING
        if self.is_server_silent(now):
            return Refusal.SILENT
        if self._admission.exceeds_cold_rate(message.cold_rate, now):
            return Refusal.COLD
        if self._health.is_failing(now) and not message.is_last_resort:
            return Refusal.FAILING
        if self._admission.is_busy(report.slots, now, message.urgency):
            return Refusal.BUSY
        return Refusal.NONE

    def _offer_slots(self, now: float) -> None:
        """Offer free slots to the balancers with waiting callers."""
        report = self._report
        if report is None or report.state is not ServerState.READY:
            return
        if self._is_stopping or self.is_server_silent(now):
            return
        while True:
            balancer = self._admission.reserve_offer(report.slots, now)
            if balancer is None:
                return
            self._outbox.count("slot_offered", "free")
            self._outbox.send(balancer, OfferSlot())

    def _release_flow(
        self, key: bytes, flow: AgentFlow, reason: str, now: float
    ) -> None:
        self._remove_flow(key, now)
        self._outbox.count("flow_released", reason)
        if not flow.acknowledgement or flow.is_closing:
            # The port of a flow that has ended may be used for another one.
            return
        self._outbox.add(ResetCaller(key, flow.acknowledgement))
        self._outbox.log("reset", key, reason)

    def _handle_retransmitted_open(
        self,
        sender: Address,
        message: OpenFlow,
        segment: Segment,
        flow: AgentFlow,
        now: float,
    ) -> None:
        waited_s = now - flow.opened_s
        if flow.server_sequence is None and waited_s > self._settings.first_reply_s:
            self._remove_flow(segment.flow, now)
            self._refuse_open(sender, message.token, segment.flow, Refusal.SILENT, now)
            return
        flow.last_balancer, flow.token, flow.last_seen_s = sender, message.token, now
        self._requests.deliver_untracked(segment)
        self._reply_to_open(sender, message.token, Refusal.NONE, now)

    def _is_handshake_with_other_server(
        self, flow: AgentFlow, segment: Segment
    ) -> bool:
        """Return whether the caller completed the handshake with another server.

        If it completed it with this server, the flow is marked as established.
        """
        if segment.is_reset or flow.is_established or flow.server_sequence is None:
            return False
        if acknowledges_other_server(flow, segment.acknowledgement):
            return True
        flow.is_established = True
        return False

    def _is_of_other_flow(self, flow: AgentFlow, segment: Segment) -> bool:
        """Return whether a caller's packet is of another flow of the same port."""
        if segment.is_reset or flow.includes(segment.acknowledgement, segment.sequence):
            return False
        self._outbox.count("flow_mismatch", "packet")
        return True

    def _handle_reset_of_probe(self, segment: Segment, now: float) -> None:
        """Drop the server's reset of a flow of which it got nothing but a probe.

        The server resets data on a flow that has ended there; the caller's flow may be
        a later one of the same port, at another server.
        """
        self._outbox.count("packet_dropped", "reset_of_probe")
        self._untracked.revoke_evidence()
        self._remove_flow(segment.flow, now)
        self._lookups.answer_probes(segment.flow, Ownership.NONE)

    def _track_flow(self, sender: Address, segment: Segment, now: float) -> AgentFlow:
        flow = self._flows[segment.flow] = AgentFlow(sender, now, is_established=True)
        return flow

    def _deliver_tracked(
        self, sender: Address, flow: AgentFlow, segment: Segment, now: float
    ) -> None:
        flow.last_balancer = sender
        flow.last_seen_s = now
        flow.acknowledgement = segment.acknowledgement
        flow.record_caller_packet(segment)
        self._requests.deliver(flow, segment, now)

    def _handle_returned(self, segment: Segment, now: float) -> None:
        flow = self._flows.get(segment.flow)
        if segment.is_syn and flow is not None and flow.is_certain:
            # A copy of the first packet that the server cannot accept a second time.
            self._outbox.count("packet_dropped", "returned_copy")
            return
        was_probed = self._lookups.answer_returned(segment)
        if flow is None:
            self._outbox.count("packet_dropped", "returned_unknown")
            return
        self._remove_flow(segment.flow, now)
        if segment.is_syn:
            self._health.record_returned(now)
            if flow.token is not None and flow.last_balancer is not None:
                self._refuse_open(
                    flow.last_balancer, flow.token, segment.flow, Refusal.RETURNED, now
                )
            return
        self._untracked.record_returned(segment, now)
        if was_probed or flow.last_balancer is None:
            return
        self._outbox.log(
            "returned", segment.flow, "not_held", was_certain=flow.is_certain
        )
        self._outbox.send(
            flow.last_balancer, FlowLost(segment.flow, segment.acknowledgement)
        )
        self._outbox.send(flow.last_balancer, ReturnPacket(segment.data))

    def _remove_flow(self, flow: bytes, now: float) -> None:
        tracked = self._flows.pop(flow, None)
        self._health.cancel_request(flow)
        self._admission.cancel_reservation(flow)
        if tracked is not None:
            self._untracked.record_abandoned(flow, tracked.is_opened_here, now)
            self._requests.end_request(flow, tracked, now)

    def _expire_requests_and_flows(self, now: float) -> None:
        settings = self._settings
        if now - self._last_expiry_s < settings.stuck_after_s / 2:
            return
        self._last_expiry_s = now
        self._requests.expire_requests(settings.stuck_after_s, now)
        oldest_s = now - settings.flow_lifetime_s
        self._untracked.purge(oldest_s)
        for key in [
            k for k, flow in self._flows.items() if flow.last_seen_s < oldest_s
        ]:
            self._remove_flow(key, now)
            self._untracked.forget(key)

    def _announce_stop(self, balancer: Address, now: float) -> None:
        """Announce the restart to a balancer that has not been told yet."""
        if self._is_stopping and balancer not in self._subscribers:
            self._subscribers[balancer] = now
            self._outbox.send(balancer, self._build_report(now))

    def _send_load_reports(self, now: float) -> None:
        oldest_s = now - self._settings.subscription_s
        for address, subscribed_s in list(self._subscribers.items()):
            if subscribed_s < oldest_s:
                del self._subscribers[address]
        if not self._subscribers:
            return
        report = self._build_report(now)
        is_withdrawal_announced = now < self._withdrawal_announced_until_s
        for address in self._subscribers:
            self._outbox.send(address, report)
            if is_withdrawal_announced:
                self._outbox.send(address, EntryWithdrawn())

    def _build_report(self, now: float) -> LoadReport:
        return LoadReport(self.build_load(now), self._rules_version)

    def _refuse_open(
        self, sender: Address, token: int, flow: bytes, refusal: Refusal, now: float
    ) -> None:
        reason = refusal.name.lower()
        self._admission.record_refusal(refusal, now)
        self._outbox.count("flow_refused", reason)
        self._outbox.log(
            "open", flow, reason, running=self._admission.count_requests(now)
        )
        self._reply_to_open(sender, token, refusal, now)

    def _reply_to_open(
        self, sender: Address, token: int, refusal: Refusal, now: float
    ) -> None:
        reply = OpenReply(token, refusal, self.build_load(now))
        self._outbox.send(sender, reply)
