"""Times and limits of an agent's steering decisions."""

import attrs


@attrs.frozen
class AgentSteeringSettings:
    """Options of `AgentSteering`.

    Parameters
    ----------
    heartbeat_s : float
        Interval between the reports of the backend server.
    flow_lifetime_s : float
        Time after the last packet for which a flow is remembered, and time after a
        start for which the server may hold flows that the agent has not seen.
    return_wait_s : float
        Time within which the server returns a packet that it does not hold.
    first_reply_s : float
        Age of a first packet without a reply from which the server counts as silent.
    silent_heartbeats : float
        Missed reports, in intervals, after which the server counts as silent.
    max_load : float
        Requests in progress per slot from which new flows are refused.
    max_admitted : float
        The same for requests in progress or expected. It is above `max_load`, since
        slots get free while a request is on its way.
    request_wait_s : float
        Time for which an admitted flow takes a slot without a request; several round
        trips to a caller.
    offer_wait_s : float
        Time for which a slot is kept for a balancer that was offered it; several round
        trips between availability zones.
    interest_s : float
        Time for which a balancer that was refused is offered slots.
    urgent_share : float
        Factor of these limits for flows that can be in time and precede those of other
        routes. Requests on open flows pass no admission, so a class that opens a flow
        for each request would hardly ever find a slot free.
    report_period_s : float
        Interval between load reports, at least.
    report_gap_s : float
        Share of that interval for each subscriber, which bounds the rate of reports
        on the thin links of large deployments.
    subscription_s : float
        Time for which a balancer's subscription lasts.
    busy_window_s : float
        Time constant of the averaged number of requests in progress.
    assumed_slots : int
        Slots of a server that has not reported yet; a small server's.
    assumed_cold_s : float
        Time for which such a server counts as cold, at most.
    start_margin_s : float
        Time by which a server may have started before its agent without flows that the
        agent has not seen: after a power loss both start together, and an agent that is
        killed alone is away for longer.
    stuck_after_s : float
        Age from which a request without a response no longer counts as in progress.
    """

    heartbeat_s: float = 1.0
    flow_lifetime_s: float = 60.0
    return_wait_s: float = 0.02
    first_reply_s: float = 0.15
    silent_heartbeats: float = 2.5
    max_load: float = 1.0
    max_admitted: float = 1.5
    urgent_share: float = 2.0
    request_wait_s: float = 0.1
    offer_wait_s: float = 0.03
    interest_s: float = 0.5
    report_period_s: float = 0.25
    report_gap_s: float = 0.025
    subscription_s: float = 3.0
    busy_window_s: float = 1.0
    assumed_slots: int = 3
    assumed_cold_s: float = 3.0
    start_margin_s: float = 0.3
    stuck_after_s: float = 5.0
