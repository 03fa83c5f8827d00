"""Constants of the flow decisions, as settings of the agent."""

import attrs

# Period of the `Tick` event; retries and sweeps are checked this often.
TICK_PERIOD_S = 0.1


@attrs.frozen
class FlowSettings:
    """Limits and intervals of the flow controller.

    Parameters
    ----------
    max_hops : int
        Most times that a packet is passed on between agents.
    query_timeout_s : float
        Time after which a segment of an unknown flow is answered by a reset, and a
        datagram opens a flow. It equals the time after which a silent agent is
        reported down, so that an owner that is only slow is not taken for lost.
    first_query_timeout_s : float
        Time after which the first segment of a TCP flow opens it.
    doubt_s : float
        How long answers of members reported down are awaited, to a query and to a
        placement.
    query_retry_s : float
        Interval between repeated queries.
    change_window_s : float
        Time after a change during which nodes may hold different views.
    early_timeout_s : float
        How long a packet waits for the table that its sender already holds.
    queue_packets_per_flow, queue_flows : int
        Bounds of the packets and flows that wait for an answer.
    load_fresh_s : float
        Age up to which a load report is used.
    place_margin : float
        Relative difference in flows per share up to which the home keeps a new flow.
    place_attempts : int
        Most members that are tried for one flow.
    place_retry_s, place_timeout_s : float
        Interval between repeated placements, and time after which one is given up. A
        refusal is remembered as long, so that each repetition gets the same answer.
    register_bytes_per_s : int
        Budget for registrations at new homes, part of the 11 KB/s for control. It
        moves 2,000 IPv4 flows in 8 s, within the change window.
    register_retry_s : float
        Time after which an unconfirmed registration is repeated.
    scan_flows_per_tick : int
        Flows whose home is recomputed per tick after a change.
    silence_s, silence_packets : float, int
        Time and outbound packets without an inbound one after which a flow is silent.
    max_silence_doublings : int
        How often the interval between repairs of a silent datagram flow doubles.
    initial_fraction, warm_up_s : float
        Fraction of each cap admitted at first, and time until the whole is admitted.
    max_new_flows_per_s : float
        Rate of new flows of which a cold backend server admits the same fraction.
    half_open_idle_s, established_idle_s : float
        Time without packets in either direction after which a flow is removed. A quiet
        feed may pause for many hours.
    linger_s : float
        How long the entry of a flow that has ended is kept for late segments.
    sweep_period_s : float
        Time in which all flows are checked once for silence and expiry.
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
