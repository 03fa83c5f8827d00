"""Times and limits of a balancer's steering decisions."""

import attrs


@attrs.frozen
class BalancerSteeringSettings:
    """Options of `BalancerSteering`.

    Parameters
    ----------
    open_timeout_s : float
        Wait for an agent's reply before the next member is tried; several round trips
        between availability zones and the pauses of a throttled process.
    open_attempts : int
        Members of one service tried in a round.
    round_delay_s : float
        Pause before the members are tried again.
    first_packet_s : float
        Time after which a caller gives up a first packet that was not answered.
    copy_delays_s : tuple of float
        Times after a first packet at which its caller repeats it.
    copy_margin_s : float
        Difference to these times that is allowed for.
    max_waiting : int
        First packets that wait for a slot at once.
    poll_s : float
        Interval at which members are asked for a slot while first packets wait, for
        offers that were lost.
    rate_window_s : float
        Span over which the flows placed are counted, to predict who waits in vain.
    hold_s : float
        Time for which a first packet is tried at members that do not take it for
        another reason than their load.
    settle_s : float
        Time for which an accepted flow may still be refused by its server.
    lookup_delays_s : tuple of float
        Delays after which members that did not answer a lookup are asked again; the
        last one ends the lookup.
    lookup_packets : int
        Packets of one flow kept during a lookup; a sender has at most 16 in flight.
    max_lookups : int
        Lookups at once, which bounds their memory.
    lookup_batch : int
        Lookups that are started together, so that each member gets one datagram.
    lookup_bytes_per_s : float
        Rate of the first questions of lookups, in bytes with headers; 20 % of a link of
        10 Mbit/s. The answers are smaller, and repetitions go to few members.
    max_pending : int
        Flows that wait for a lookup; packets of others are dropped, and their senders
        repeat them.
    lookup_pause_s : float
        Time after a lookup without all answers before the flow is looked up again.
    confirm_timeout_s : float
        Wait for the confirmation that there is no other member which may own a flow,
        while the store is away; callers repeat a packet several times meanwhile.
    subscribe_period_s : float
        Interval between subscriptions to load reports, at least.
    subscribe_gap_s : float
        Share of that interval for each member, so that large deployments send no more
        than a fixed rate.
    stale_after_s : float
        Age of a member's last message from which other members are preferred.
    suspect_s, max_suspect_s : float
        First and longest time for which a member that did not answer is avoided.
    restart_s : float
        Silence after which a member counts as lost although its agent said that it
        restarts; covers the time before SIGKILL and a slow start.
    isolated_after_s : float
        Silence of all members after which the balancer itself counts as cut off. It is
        below `lost_after_s` by the interval of reports, so that flows of the members
        that were heard first are not given up.
    lost_after_s : float
        Silence after which a member counts as lost: its flows are given up, and lookups
        do not wait for it. An agent that is killed is back and asked again before.
    first_heard_s : float
        The same for a member that has not been heard since this balancer knows of it.
        An agent that starts at the same time is heard within 0.8 s.
    probe_after_s : float
        Silence after which a member is asked for its load at each check; agents report
        every 0.5 s at most in the largest deployment.
    probe_until_s : float
        Silence after which it is asked at the usual interval again.
    check_s : float
        Interval of the checks for silent members.
    pause_s : float
        Time without any event after which the balancer itself was paused, three checks.
    owner_lifetime_s : float
        Time after the last packet for which an owner is remembered.
    sample : int
        Members compared for each new flow.
    speed_weight : float
        Utilization up to which a server's speed decides rather than its load.
    cold_penalty : float
        Utilization by which the others must be busier before a cold server is chosen.
    zone_penalty : float
        The same for a server in another availability zone, whose traffic is priced.
    least_neighbours, most_neighbours : int
        Members per service that report their loads to a balancer: at least so many
        usable ones where there are, and at most so many of the own availability zone.
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
    confirm_timeout_s: float = 2.0
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
