"""Timeouts and limits of a balancer's steering decisions."""

import attrs

from bramleystair.steering._options import SteeringOptions


@attrs.frozen
class BalancerSteeringSettings:
    """Options of `BalancerSteering`.

    Parameters
    ----------
    open_timeout_s : float
        Timeout for an agent's reply before the next member is tried. It covers several
        round trips between availability zones and the pauses of a throttled process.
    open_attempts : int
        Maximum number of members of one service tried per round.
    round_delay_s : float
        Delay before a new round over the members starts.
    first_packet_s : float
        Time after which a caller gives up on an unanswered first packet.
    copy_delays_s : tuple of float
        Delays after the first packet at which its caller retransmits it.
    copy_margin_s : float
        Tolerance for the arrival time of these retransmissions.
    max_waiting : int
        Maximum number of first packets that wait for a slot.
    poll_s : float
        Interval at which members are asked for a slot while first packets wait, in case
        an offer was lost.
    rate_window_s : float
        Window over which placed flows are counted, to predict which waiting flows
        cannot be placed in time.
    hold_s : float
        Time for which a first packet is retried at members that refuse it for a reason
        other than load, and for which packets are buffered at startup.
    settle_s : float
        Time during which the server may still refuse an accepted flow.
    lookup_delays_s : tuple of float
        Delays after which members that did not answer a lookup are queried again; the
        lookup ends after the last one.
    lookup_packets : int
        Maximum number of packets of one flow buffered during a lookup; a sender has at
        most 16 in flight.
    max_lookups : int
        Maximum number of concurrent lookups, which bounds their memory.
    lookup_batch : int
        Number of lookups started together, so that each member gets one datagram.
    lookup_bytes_per_s : float
        Rate limit for the first queries of lookups, in bytes including headers; 20 % of
        a link of 10 Mbit/s. Replies are smaller, and retries go to few members.
    max_pending : int
        Maximum number of flows that wait for a lookup; packets of further flows are
        dropped, and their senders retransmit them. Also limits the packets buffered at
        startup.
    lookup_pause_s, max_lookup_pause_s : float
        Delay after a lookup without a result before the flow is looked up again. While
        all members deny the flow, the delay doubles up to the maximum.
    probe_batch : int
        Number of servers that are sent a packet of a flow at the same time to find its
        owner.
    probe_pause_s : float
        Delay after a lookup that has probed a server while a member did not reply. At
        most two packets of a flow reach other servers within two seconds.
    confirm_timeout_s : float
        Timeout for the confirmation that no other member may own a flow, while the
        store is unavailable. The flow is then left alone, and a retransmission of its
        caller starts another lookup.
    confirm_interval_s : float
        Minimum interval between the confirmations that only serve to find members that
        joined; one that precedes a reset is requested at once.
    evidence_interval_s : float
        Minimum interval between the confirmations on which resets of flows that all
        members deny on evidence wait, which bounds the calls to the store.
    evidence_pause_s : float
        Same as `lookup_pause_s` if all members deny the flow on evidence, but the list
        of members was not shown to be complete; the first delay of the caller's copies.
    max_estimate_probes : int
        Maximum number of members that deny a flow by an estimate and whose servers are
        then sent its packet to find out. All of them are, or none: a flow's packets
        must not reach several other servers and not its own.
    subscribe_period_s : float
        Minimum interval between subscriptions to load reports.
    subscribe_gap_s : float
        Share of that interval per member, which caps the rate of subscriptions in large
        deployments.
    stale_after_s : float
        Age of a member's last message from which other members are preferred.
    suspect_s, max_suspect_s : float
        Initial and maximum time for which an unresponsive member is avoided.
    restart_s : float
        Silence after which a member counts as lost although its agent announced a
        restart; covers the time before SIGKILL and a slow start.
    isolated_after_s : float
        Silence of all members after which the balancer considers itself isolated. It is
        shorter than `lost_after_s` by the report interval, so that isolation is
        detected before the flows of the member that was heard first are released.
    lost_after_s : float
        Silence after which a member counts as lost: its flows are released, and lookups
        do not wait for it. An agent that was killed has restarted and has been queried
        again by then.
    first_heard_s : float
        Same as `lost_after_s`, for a member that has sent no message since this
        balancer learned of it. An agent that starts at the same time is heard within
        0.8 s.
    probe_after_s : float
        Silence after which a member is asked for its load at each check; agents report
        at least every 0.5 s in the largest deployment.
    probe_until_s : float
        Silence after which the member is asked at the regular interval again.
    check_s : float
        Interval of the checks for silent members.
    pause_s : float
        Time without any event after which this process is assumed to have been paused;
        three check intervals.
    owner_lifetime_s : float
        Time for which an owner is cached after the flow's last packet.
    sample : int
        Number of members compared for each new flow.
    speed_weight : float
        Maximum utilization added to the cost of a server that is slower than the
        fastest one.
    cold_penalty : float
        Utilization added to the cost of a cold server, or, in proportion to what is
        missing from its full pace, to that of a server whose pace is learnt.
    zone_penalty : float
        Utilization added to the cost of a server in another availability zone, because
        traffic between zones is billed.
    least_neighbours, most_neighbours : int
        Limits per service of the members that report their loads to a balancer: at
        least `least_neighbours` usable members, if there are as many, and at most
        `most_neighbours` usable members of its own availability zone.
    options : SteeringOptions
        Options of the parts that are switched on.
    """

    open_timeout_s: float = 0.06
    open_attempts: int = 4
    round_delay_s: float = 0.04
    first_packet_s: float = 1.4
    copy_delays_s: tuple[float, ...] = (0.2, 0.6)
    copy_margin_s: float = 0.1
    max_waiting: int = 1024
    poll_s: float = 0.1
    rate_window_s: float = 0.5
    hold_s: float = 0.5
    settle_s: float = 1.5
    lookup_delays_s: tuple[float, ...] = (0.12, 0.25, 0.4)
    lookup_packets: int = 16
    max_lookups: int = 64
    lookup_batch: int = 16
    lookup_bytes_per_s: float = 250_000.0
    max_pending: int = 1024
    lookup_pause_s: float = 0.8
    max_lookup_pause_s: float = 3.2
    probe_batch: int = 8
    probe_pause_s: float = 1.1
    confirm_timeout_s: float = 2.0
    confirm_interval_s: float = 3.2
    evidence_interval_s: float = 0.2
    evidence_pause_s: float = 0.2
    max_estimate_probes: int = 4
    subscribe_period_s: float = 0.5
    subscribe_gap_s: float = 0.02
    stale_after_s: float = 1.5
    suspect_s: float = 0.5
    max_suspect_s: float = 4.0
    restart_s: float = 8.0
    isolated_after_s: float = 1.4
    lost_after_s: float = 2.0
    first_heard_s: float = 1.5
    probe_after_s: float = 0.8
    probe_until_s: float = 6.0
    check_s: float = 0.25
    pause_s: float = 0.75
    owner_lifetime_s: float = 60.0
    sample: int = 3
    speed_weight: float = 0.5
    cold_penalty: float = 0.5
    zone_penalty: float = 0.15
    least_neighbours: int = 12
    most_neighbours: int = 32
    options: SteeringOptions = SteeringOptions()
