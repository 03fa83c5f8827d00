"""Settings of the flow controller."""

import attrs

# Period of the `Tick` event, which drives retransmissions and sweeps.
TICK_PERIOD_S = 0.1


@attrs.frozen
class FlowSettings:
    """Limits and intervals of the flow controller.

    Parameters
    ----------
    max_hops : int
        Largest number of times that a packet is forwarded between agents.
    query_timeout_s : float
        Time after which a segment of an unknown flow is answered with a reset and a
        datagram opens a flow. It equals the time after which a silent agent is
        reported down, so that a slow owner is not treated as lost.
    first_query_timeout_s : float
        Time after which the first segment of an unknown TCP flow opens it.
    doubt_s : float
        How long to wait for replies of members reported down to a query or placement
        request.
    query_retry_s : float
        Interval between repeated queries.
    change_window_s : float
        Time after a change during which nodes may hold different views.
    early_timeout_s : float
        How long a packet is kept that its sender routed by a newer table, until that
        table arrives.
    queue_packets_per_flow, queue_flows : int
        Limits of the packets per flow and of the flows that wait for a reply.
    load_fresh_s : float
        Largest age of a load report that is used.
    place_margin : float
        The home takes a new flow itself if its flows per share exceed those of the
        best candidate by at most this fraction.
    place_attempts : int
        Largest number of members that are tried for one flow.
    place_retry_s, place_timeout_s : float
        Interval between repeated placement requests, and time after which a placement
        fails. A refusal is stored for the same time, so that each repetition gets the
        same reply.
    register_bytes_per_s : int
        Budget for registrations at new homes, part of the 11 KB/s for control
        messages. It moves 2,000 IPv4 flows in 8 s, which is within the change window.
    register_retry_s : float
        Time after which an unconfirmed registration is repeated.
    scan_flows_per_tick : int
        Number of flows whose home is recomputed per tick after a change.
    silence_s, silence_packets : float, int
        Time and number of outbound packets without an inbound packet after which a
        flow counts as silent.
    max_silence_doublings : int
        Largest number of times that the interval between repairs of a silent datagram
        flow doubles.
    initial_fraction, warm_up_s : float
        Fraction of each cap admitted at the start, and time until the full cap is
        admitted.
    max_new_flows_per_s : float
        Rate of new flows; a cold backend server admits the same fraction of it as of
        its cap.
    half_open_idle_s, established_idle_s : float
        Time without packets in either direction after which a half-open or an
        established flow is removed. A quiet feed may pause for many hours.
    linger_s : float
        How long the entry of an ended flow is kept for late segments.
    sweep_period_s : float
        Time in which each flow is checked once for silence and expiry.
    redirect_period_s : float
        A redirect unused for two such periods is removed.
    """

    max_hops: int = 4
    query_timeout_s: float = 3.0
    first_query_timeout_s: float = 1.0
    doubt_s: float = 1.0
    query_retry_s: float = 0.2
    change_window_s: float = 10.0
    early_timeout_s: float = 3.0
    queue_packets_per_flow: int = 8
    queue_flows: int = 4096
    load_fresh_s: float = 3.0
    place_margin: float = 0.03
    place_attempts: int = 6
    place_retry_s: float = 0.25
    place_timeout_s: float = 3.0
    register_bytes_per_s: int = 8_000
    register_retry_s: float = 1.0
    scan_flows_per_tick: int = 1_000
    silence_s: float = 20.0
    silence_packets: int = 3
    max_silence_doublings: int = 5
    initial_fraction: float = 0.1
    warm_up_s: float = 60.0
    max_new_flows_per_s: float = 200.0
    half_open_idle_s: float = 60.0
    established_idle_s: float = 86_400.0
    linger_s: float = 10.0
    sweep_period_s: float = 2.0
    redirect_period_s: float = 3600.0
