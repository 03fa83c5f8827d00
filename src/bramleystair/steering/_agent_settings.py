"""Timeouts and limits of an agent's steering logic."""

import attrs

from bramleystair.steering._options import SteeringOptions


@attrs.frozen
class AgentSteeringSettings:
    """Settings of `AgentSteering`.

    Parameters
    ----------
    heartbeat_s : float
        Interval between the status reports of the backend server.
    flow_lifetime_s : float
        Time after its last packet for which a flow is tracked, and time after the start
        of the agent for which the server may hold flows that the agent does not track.
    return_wait_s : float
        Time within which the server returns a packet whose flow it does not hold.
    first_reply_s : float
        Age from which a first packet without a reply makes the server count as silent.
    silent_heartbeats : float
        Number of missed report intervals after which the server counts as silent.
    max_load : float
        Number of requests in progress per slot from which new flows are refused.
    max_admitted : float
        The same limit for requests in progress or expected. It is above `max_load`,
        since slots become free while an expected request is in transit.
    request_wait_s : float
        Time for which an admitted flow reserves a slot before its request arrives;
        several round trips to a caller.
    offer_wait_s : float
        Time for which an offered slot is reserved for a balancer; several round trips
        between availability zones.
    interest_s : float
        Time after a refusal for which slots are offered to the balancer.
    urgent_share : float
        Factor applied to these limits for flows that can still be in time and have
        priority over those of other routes. Requests on open flows are not subject to
        admission, so a class that opens a flow for each request would rarely find a
        free slot without it.
    report_period_s : float
        Minimum interval between load reports.
    report_gap_s : float
        Minimum interval between load reports, divided by the number of subscribers. It
        bounds the rate of reports on the low-bandwidth links of large deployments.
    stop_report_period_s : float
        Interval at which the agent repeats that it stops; a few times before it ends.
    subscription_s : float
        Time after which a subscription that is not renewed ends.
    busy_window_s : float
        Time constant of the average of requests in progress.
    assumed_slots : int
        Slots assumed for a server that has not reported yet; those of a small server.
    assumed_cold_s : float
        Maximum time for which such a server counts as cold.
    start_margin_s : float
        Time after the start of the agent within which the first report of a cold server
        counts as a sign that both started together, as after a power loss: its calls
        were refused until the agent listened.
    stuck_after_s : float
        Age from which a request without a response does not count as in progress.
    options : SteeringOptions
        Options of the parts that are switched on.
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
    stop_report_period_s: float = 0.05
    subscription_s: float = 3.0
    busy_window_s: float = 1.0
    assumed_slots: int = 3
    assumed_cold_s: float = 3.0
    start_margin_s: float = 0.5
    stuck_after_s: float = 5.0
    options: SteeringOptions = SteeringOptions()
