"""Requests that an agent delivers to its backend server, and their responses."""

from collections.abc import Iterable, Mapping

from bramleystair.steering._actions import DeliverToServer
from bramleystair.steering._admission import AdmissionControl
from bramleystair.steering._agent_flows import (
    AgentFlow,
    carries_new_data,
    starts_request,
)
from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._messages import OpenFlow
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._request_gate import (
    Follow,
    HeldRequest,
    Outcome,
    Release,
    RequestGate,
    RequestLevel,
)
from bramleystair.steering._segments import Segment, get_service_endpoint
from bramleystair.steering._server_health import ServerHealth

# Maximum number of routes whose level is remembered.
MAX_LEVELS = 1024


class RequestTracker:
    """Deliver the callers' packets, and count the requests in progress.

    Parameters
    ----------
    settings : AgentSteeringSettings
        Timeouts, limits and options of the request gate.
    admission : AdmissionControl
        Counts the requests in progress.
    health : ServerHealth
        Judges the server by the outcome of its requests.
    outbox : Outbox
        Receives the packets to deliver, counts and log lines.
    flows : mapping of bytes to AgentFlow
        The tracked flows, which the agent adds and removes.
    """

    def __init__(
        self,
        settings: AgentSteeringSettings,
        admission: AdmissionControl,
        health: ServerHealth,
        outbox: Outbox,
        flows: Mapping[bytes, AgentFlow],
    ) -> None:
        self._options = settings.options.request_gate
        self._admission = admission
        self._health = health
        self._outbox = outbox
        self._flows = flows
        self._gate = RequestGate(self._options, self._compute_limit)
        self._is_stopping = False
        # Level of the requests by service endpoint, as told by balancers.
        self._levels: dict[bytes, RequestLevel] = {}

    @property
    def next_due_s(self) -> float:
        """Time at which `run_timers` is due."""
        return self._gate.next_due_s

    @property
    def held_count(self) -> int:
        """Number of requests that wait for room at the server."""
        return self._gate.held_count

    def set_slots(self, slots: int, now: float) -> None:
        """Set the number of requests that the server processes concurrently."""
        self._gate.set_slots(0 if self._is_stopping else slots)
        self._admission.has_request_gate = self._gate.is_active
        if not self._gate.is_active:
            reason = Release.STOPPING if self._is_stopping else Release.SERVER_GONE
            self._deliver_released(self._gate.release_all(), reason, now)

    def stop(self, now: float) -> None:
        """Deliver all held requests, and hold no others."""
        self._is_stopping = True
        self.set_slots(0, now)

    def learn_level(self, flow: bytes, message: OpenFlow) -> None:
        """Remember the level of a route; one without an objective is unknown."""
        if not message.objective_s:
            return
        endpoint = get_service_endpoint(flow)
        if endpoint not in self._levels and len(self._levels) >= MAX_LEVELS:
            del self._levels[next(iter(self._levels))]
        level = RequestLevel(message.urgency.priority, message.objective_s)
        self._levels[endpoint] = level

    def deliver(self, flow: AgentFlow, segment: Segment, now: float) -> None:
        """Deliver a packet of a tracked flow, or hold it with its request."""
        is_start = starts_request(flow, segment)
        is_first = flow.highest_sequence is None
        if carries_new_data(flow, segment):
            flow.highest_sequence = segment.sequence
        if segment.is_reset or segment.is_fin:
            self._deliver_end(flow, segment, now)
            return
        if is_start:
            waited_s = flow.waited_s if is_first else 0.0
            self._start_request(flow, segment, waited_s, now)
            return
        match self._gate.follow(segment):
            case Follow.PASS:
                self.deliver_untracked(segment)
            case Follow.COPY:
                self._outbox.count("request_copy", "held")

    def deliver_untracked(self, segment: Segment) -> None:
        """Deliver a packet that is not part of a request."""
        self._outbox.add(DeliverToServer(segment.data))

    def handle_server_packet(
        self, flow: AgentFlow, segment: Segment, now: float
    ) -> None:
        """Record the response to a request, and the end of a flow."""
        is_response = (
            segment.has_payload
            and flow.request_started_s is not None
            # A retransmission of the response before.
            and not self._gate.holds(segment.flow)
        )
        if is_response:
            started_s, delivered_s = flow.request_started_s, flow.request_delivered_s
            self._outbox.observe("response", now - started_s)
            self._admission.end_request(
                segment.flow, started_s, delivered_s, flow.queued, now
            )
            self._gate.finish(segment.flow, now, is_answered=True)
            flow.request_started_s = None
        if segment.has_payload:
            self._health.record_answer(segment.flow, now)
        if segment.is_reset or segment.is_fin:
            self._health.record_closed(segment.flow, segment.is_reset, now)
            self._admission.cancel_reservation(segment.flow)
            self.end_request(segment.flow, flow, now, segment.is_reset)
        self._deliver_released(self._gate.release_room(now), Release.ROOM, now)

    def end_request(
        self, key: bytes, flow: AgentFlow, now: float, is_reset: bool = False
    ) -> None:
        """Record that the request of a flow gets no response, if there is one.

        Parameters
        ----------
        is_reset : bool
            Whether the server reset the flow.
        """
        held = self._gate.discard(key)
        if flow.request_started_s is not None:
            # The end of a held request says nothing about the server.
            waited_s = 0.0 if held else now - flow.request_delivered_s
            is_failure = is_reset and held is None
            self._admission.abandon_request(key, waited_s, is_failure, now)
            flow.request_started_s = None
        if held is not None:
            self._outbox.count("request_discarded", "flow_ended")
            self._outbox.log("request", key, "discarded", packets=len(held.segments))

    def expire_requests(self, age_s: float, now: float) -> None:
        """End the requests that were started more than `age_s` ago."""
        for key, flow in self._flows.items():
            started_s = flow.request_started_s
            if started_s is None or now - started_s <= age_s:
                continue
            self._outbox.count("request_stuck", "no_response")
            self._outbox.log(
                "request",
                key,
                "stuck",
                seconds=round(now - started_s, 1),
                is_certain=flow.is_certain,
            )
            self.end_request(key, flow, now)

    def replace_server(self, now: float) -> None:
        """Deliver what is held, and forget the requests of the replaced server.

        The server at its address returns the packets of flows that it does not hold.
        """
        released = self._gate.release_all()
        self._deliver_released(released, Release.SERVER_REPLACED, now)
        self._gate.forget_server()
        self._admission.reset(now)
        self._health.reset()
        for flow in self._flows.values():
            flow.request_started_s = None

    def run_timers(self, now: float) -> None:
        """Deliver requests for which there is room, or that are due."""
        self._deliver_released(self._gate.release_room(now), Release.ROOM, now)
        self._deliver_released(self._gate.release_due(now), Release.DUE, now)

    def _compute_limit(self, slots: int, now: float) -> float:
        """Return the number of requests that the server may have at a time."""
        pace = self._admission.pace
        if pace.applies(slots):
            return pace.compute_limit(slots, now)
        return self._options.queue_factor * slots

    def _start_request(
        self, flow: AgentFlow, segment: Segment, waited_s: float, now: float
    ) -> None:
        level = self._levels.get(get_service_endpoint(segment.flow))
        flow.request_started_s = now
        priority = None if level is None else level.priority
        running = self._admission.start_request(segment.flow, now, priority)
        if not self._gate.is_active:
            self._record_delivery(segment.flow, running, now)
            self.deliver_untracked(segment)
            return
        # The server returns packets of flows that it does not hold, so that the first
        # packet of an uncertain one finds out whether it does.
        if level is None or not (flow.is_certain or flow.server_sequence is not None):
            self._gate.submit(segment, None, now)
            queued = self._gate.get_queued(segment.flow)
            self._record_delivery(segment.flow, queued, now)
            self.deliver_untracked(segment)
            return
        request = RequestLevel(level.priority, level.objective_s, waited_s)
        outcome, displaced = self._gate.submit(segment, request, now)
        if displaced is not None:
            self._deliver_released([displaced], Release.DISPLACED, now)
        if outcome is Outcome.HELD:
            self._outbox.count("request_held", "no_room")
            return
        if outcome is not Outcome.DELIVERED:
            self._outbox.count("request_passed", outcome.value)
            self._outbox.log("request", segment.flow, outcome.value)
        queued = self._gate.get_queued(segment.flow)
        self._record_delivery(segment.flow, queued, now)
        self.deliver_untracked(segment)

    def _record_delivery(self, key: bytes, queued: int, now: float) -> None:
        """Record that a request is delivered, as the last of `queued` at the server."""
        flow = self._flows[key]
        flow.request_delivered_s = now
        flow.queued = queued
        self._health.start_request(key, now)

    def _deliver_end(self, flow: AgentFlow, segment: Segment, now: float) -> None:
        """Deliver the end of a flow behind its request, which a reset discards."""
        if segment.is_fin:
            held = self._gate.release_flow(segment.flow)
            self._deliver_released([held] if held else [], Release.CLOSED, now)
        self._health.cancel_request(segment.flow)
        self._admission.cancel_reservation(segment.flow)
        self.end_request(segment.flow, flow, now)
        self.deliver_untracked(segment)
        self._deliver_released(self._gate.release_room(now), Release.ROOM, now)

    def _deliver_released(
        self, released: Iterable[HeldRequest], reason: Release, now: float
    ) -> None:
        for held in released:
            queued = self._gate.get_queued(held.flow)
            self._record_delivery(held.flow, queued, now)
            held_s = now - held.arrived_s
            self._outbox.count("request_released", reason.value)
            self._outbox.observe("request_hold", held_s)
            if reason is not Release.ROOM:
                self._outbox.log(
                    "request",
                    held.flow,
                    f"released_{reason.value}",
                    held_ms=round(held_s * 1000, 1),
                    priority=held.priority,
                )
            for segment in held.segments:
                self.deliver_untracked(segment)
