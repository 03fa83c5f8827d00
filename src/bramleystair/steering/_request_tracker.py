"""Requests that an agent delivers to its backend server, and their responses."""

from collections.abc import Mapping

from bramleystair.steering._actions import DeliverToServer
from bramleystair.steering._admission import AdmissionControl
from bramleystair.steering._agent_flows import (
    AgentFlow,
    carries_new_data,
    starts_request,
)
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._segments import Segment


class RequestTracker:
    """Deliver the callers' packets, and count the requests in progress.

    Parameters
    ----------
    admission : AdmissionControl
        Counts the requests in progress.
    outbox : Outbox
        Receives the packets to deliver, counts and log lines.
    """

    def __init__(self, admission: AdmissionControl, outbox: Outbox) -> None:
        self._admission = admission
        self._outbox = outbox

    def deliver(self, flow: AgentFlow, segment: Segment, now: float) -> None:
        """Deliver a packet of a tracked flow."""
        if starts_request(flow, segment):
            flow.request_started_s = now
            self._admission.start_request(segment.flow, now)
        if carries_new_data(flow, segment):
            flow.highest_sequence = segment.sequence
        if segment.is_reset or segment.is_fin:
            self._admission.cancel_reservation(segment.flow)
            self.end_request(segment.flow, flow, now)
        self.deliver_untracked(segment)

    def deliver_untracked(self, segment: Segment) -> None:
        """Deliver a packet that is not part of a request."""
        self._outbox.add(DeliverToServer(segment.data))

    def handle_server_packet(
        self, flow: AgentFlow, segment: Segment, now: float
    ) -> None:
        """Record the response to a request, and the end of a flow."""
        if segment.has_payload and flow.request_started_s is not None:
            self._outbox.observe("response", now - flow.request_started_s)
            self._admission.meter.end_request(flow.request_started_s, now)
            flow.request_started_s = None
        if segment.is_reset or segment.is_fin:
            self._admission.cancel_reservation(segment.flow)
            self.end_request(segment.flow, flow, now)

    def end_request(self, key: bytes, flow: AgentFlow, now: float) -> None:
        """Record that the request of a flow gets no response, if there is one."""
        if flow.request_started_s is not None:
            self._admission.meter.end_request(None, now)
            flow.request_started_s = None

    def expire_requests(
        self, flows: Mapping[bytes, AgentFlow], oldest_s: float, now: float
    ) -> None:
        """End the requests that were started before `oldest_s`."""
        for key, flow in flows.items():
            if flow.request_started_s is None or flow.request_started_s >= oldest_s:
                continue
            self._outbox.count("request_stuck", "no_response")
            self._outbox.log(
                "request",
                key,
                "stuck",
                seconds=round(now - flow.request_started_s, 1),
                is_certain=flow.is_certain,
            )
            self.end_request(key, flow, now)

    def replace_server(self, flows: Mapping[bytes, AgentFlow], now: float) -> None:
        """Forget the requests of a server that was replaced."""
        self._admission.reset(now)
        for flow in flows.values():
            flow.request_started_s = None
