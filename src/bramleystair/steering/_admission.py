"""Admission control: the number of requests that an agent lets its server process."""

import attrs

from bramleystair.steering._agent_settings import AgentSteeringSettings
from bramleystair.steering._cold_rate_limiter import ColdRateLimiter
from bramleystair.steering._load import LoadMeter
from bramleystair.steering._messages import Refusal
from bramleystair.steering._offers import SlotOffers
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._reservations import Reservations
from bramleystair.steering._server_pace import (
    LOWEST_LIMIT,
    PaceOutcome,
    PaceReason,
    ServerPace,
)
from bramleystair.steering._types import Address, Load, ServerReport, Urgency


class AdmissionControl:
    """Count requests in progress and expected, and offer slots as they become free.

    Parameters
    ----------
    settings : AgentSteeringSettings
        Timeouts and limits.
    outbox : Outbox
        Receives the counters and log lines of the pace.
    now : float
        Time in seconds.
    """

    def __init__(
        self, settings: AgentSteeringSettings, outbox: Outbox, now: float
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self.meter = LoadMeter(settings.busy_window_s)
        self._reservations = Reservations(settings.request_wait_s)
        self._offers = SlotOffers(settings.offer_wait_s, settings.interest_s)
        self._cold_rate_limiter = ColdRateLimiter()
        self._cold_until_s = 0.0
        self.pace = ServerPace(settings.options.pace, now)
        # Slots of the server as it reported them; 0 before its first report.
        self._slots = 0
        # Whether requests are delivered by urgency, so that one on a new flow overtakes
        # less urgent ones.
        self.has_request_gate = False
        # Priorities of the requests in progress, as far as known.
        self._priorities: dict[bytes, int] = {}
        # Time of the last new flow by priority.
        self._last_arrivals_s: dict[int, float] = {}

    @property
    def next_offer_expiry_s(self) -> float:
        """Time at which a reserved slot may be offered to another balancer."""
        return self._offers.next_expiry_s

    def reset(self, now: float) -> None:
        """Discard the state of a replaced server."""
        self.meter.reset(now)
        self._priorities.clear()
        self._reservations.clear()
        self.pace.start(now, PaceReason.REPLACED)

    def use_report(self, report: ServerReport, now: float) -> None:
        """Use what the server reports of its capacity.

        A server can become cold without a restart, for example in an evacuated zone.
        """
        if report.cold_left_s > 0 and not self.is_cold(now):
            self.pace.start(now, PaceReason.STARTED)
        self.set_cold(report.cold_left_s, now)
        self._slots = report.slots

    def set_cold(self, seconds: float, now: float) -> None:
        """Set the time for which the server remains cold."""
        self._cold_until_s = now + seconds

    def extend_cold(self, seconds: float, now: float) -> None:
        """Let the server remain cold for at least the given time."""
        self._cold_until_s = max(self._cold_until_s, now + seconds)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self._cold_until_s

    def exceeds_cold_rate(self, rate: float, now: float) -> bool:
        """Return whether a cold server has reached its rate of new flows."""
        return self.is_cold(now) and not self._cold_rate_limiter.allows(rate, now)

    def record_arrival(self, urgency: Urgency, now: float) -> None:
        """Record the arrival of a flow, whether it is admitted or not."""
        self._last_arrivals_s[urgency.priority] = now

    def is_busy(self, slots: int, now: float, urgency: Urgency | None = None) -> bool:
        """Return whether no slot is free for a new flow, of `urgency` if known."""
        settings = self._settings
        factor, less_urgent = 1.0, 0
        if self._outranks_other_flows(urgency, now):
            factor = settings.urgent_share
            less_urgent = self._count_less_urgent(urgency)
        limit = factor * self._compute_flow_limit(slots, now)
        running = self.meter.running - less_urgent
        requests = self.count_requests(now) - less_urgent
        return (
            running >= settings.max_load * limit
            or requests >= settings.max_admitted * limit
        )

    def _count_less_urgent(self, urgency: Urgency) -> int:
        """Return the number of requests in progress that a new flow overtakes."""
        if not self.has_request_gate:
            return 0
        priorities = self._priorities.values()
        return sum(priority > urgency.priority for priority in priorities)

    def _compute_flow_limit(self, slots: int, now: float) -> float:
        """Return the requests in progress up to which any new flow is admitted.

        Flows that outrank others are admitted up to the whole pace of the server.
        """
        if not self.pace.applies(slots):
            return slots
        limit = self.pace.compute_limit(slots, now) / self._settings.urgent_share
        return max(LOWEST_LIMIT, limit)

    def _outranks_other_flows(self, urgency: Urgency | None, now: float) -> bool:
        """Return whether flows of a lower priority use the server as well.

        Late flows outrank none.
        """
        if urgency is None or urgency.is_late:
            return False
        oldest_s = now - self._settings.flow_lifetime_s
        return any(
            priority > urgency.priority and seen_s >= oldest_s
            for priority, seen_s in self._last_arrivals_s.items()
        )

    def count_requests(self, now: float) -> int:
        """Return the number of requests in progress or expected."""
        expected = self._reservations.count(now) + self._offers.count(now)
        return self.meter.running + expected

    def admit(self, flow: bytes, now: float) -> None:
        """Reserve a slot for the first request of an admitted flow."""
        self._cold_rate_limiter.record(now)
        self._reservations.add(flow, now)

    def start_request(
        self, flow: bytes, now: float, priority: int | None = None
    ) -> int:
        """Count a request for the server, of `priority` if known.

        Returns
        -------
        int
            Requests in progress, including this one.
        """
        self._reservations.discard(flow)
        self.meter.start_request(now)
        if priority is not None:
            self._priorities[flow] = priority
        return self.meter.running

    def end_request(
        self,
        flow: bytes,
        started_s: float,
        delivered_s: float,
        queued: int,
        now: float,
    ) -> None:
        """Count the end of an answered request.

        Parameters
        ----------
        delivered_s : float
            Time at which it was delivered: the pace of the server does not depend on
            the time for which the request was held before.
        queued : int
            Requests in progress at the server at that time, including it.
        """
        self._priorities.pop(flow, None)
        self.meter.end_request(started_s, now)
        if self.pace.applies(self._slots):
            self.pace.record_response(now - delivered_s, queued, self._slots, now)
            self._report_pace()

    def abandon_request(
        self, flow: bytes, waited_s: float, is_reset: bool, now: float
    ) -> None:
        """Count the end of a request without a response.

        Parameters
        ----------
        waited_s : float
            Time since its delivery.
        is_reset : bool
            Whether the server reset its flow. Either end may also close a flow in order
            before the response, which says nothing about the server.
        """
        self._priorities.pop(flow, None)
        self.meter.end_request(None, now)
        if not self.pace.applies(self._slots):
            return
        if is_reset or waited_s > self._settings.options.pace.response_s:
            self.pace.record_failure(PaceReason.UNANSWERED, now)
            self._report_pace()

    def record_refusal(self, refusal: Refusal, now: float) -> None:
        """Record that a new flow was refused."""
        if refusal is Refusal.RETURNED and self.pace.applies(self._slots):
            self.pace.record_failure(PaceReason.RETURNED, now)
            self._report_pace()

    def build_load(self, report: ServerReport, is_silent: bool, now: float) -> Load:
        """Return the load of the server, without what depends on the agent."""
        self.meter.update(now)
        load = Load(
            report.state,
            report.slots,
            self.count_requests(now),
            self.meter.mean_running,
            service_s=self.meter.service_s,
            is_cold=self.is_cold(now),
            is_accepting=not is_silent and not self.is_busy(report.slots, now),
        )
        if not self.pace.applies(report.slots):
            return load
        if is_silent:
            self.pace.record_silence(now)
            self._report_pace()
        return attrs.evolve(load, pace=self.pace.compute_share(report.slots, now))

    def _report_pace(self) -> None:
        for change in self.pace.take_changes():
            self._outbox.count(f"pace_{change.outcome}", change.reason.value)
            if change.outcome is PaceOutcome.FULL:
                self._outbox.observe("pace_full", change.seconds)
            if change.is_logged:
                self._outbox.log(
                    "pace",
                    b"",
                    change.outcome.value,
                    reason=change.reason.value,
                    limit=round(change.limit, 1),
                    seconds=round(change.seconds, 2),
                )

    def cancel_reservation(self, flow: bytes) -> None:
        """Give up the reservation of a flow that ends."""
        self._reservations.discard(flow)

    def release_offer(self, balancer: Address) -> None:
        """Free the slot reserved for a balancer, which has answered the offer."""
        self._offers.release(balancer)

    def set_waiting_urgency(
        self, balancer: Address, urgency: Urgency | None, now: float
    ) -> None:
        """Set the urgency of the most urgent flow that waits at a balancer.

        None means that no flow waits there.
        """
        if urgency is None:
            self._offers.remove_waiting(balancer)
        else:
            self._offers.add_waiting(balancer, urgency, now)

    def reserve_offer(self, slots: int, now: float) -> Address | None:
        """Reserve a free slot for a waiting balancer and return its address.

        None means that no balancer waits or no slot is free.
        """
        urgency = self._offers.get_highest_urgency(now)
        if urgency is None or self.is_busy(slots, now, urgency):
            return None
        return self._offers.reserve_next(now)
