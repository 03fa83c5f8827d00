"""Load patterns used to compare steering policies."""

from collections.abc import Callable
from typing import Any

import attrs

from bramleystair.model._callers import CallerSettings, Outcome
from bramleystair.model._fleet import Fleet, FleetSettings
from bramleystair.model._servers import ServerSettings
from bramleystair.steering import RequestGateSettings, SteeringOptions
from bramleystair.steering._options import PaceSettings
from bramleystair.steering.agent import AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteeringSettings

DURATION_S = 30
# Requests of the warm-up are not counted: the deployment starts without load.
WARM_UP_S = 5
SHORT_FLOW_CALLERS = CallerSettings(
    callers=29,
    priority=0,
    objective_s=0.22,
    deadline_s=3.0,
    is_idempotent=False,
    keeps_flows=False,
)
LONG_FLOW_CALLERS = CallerSettings(
    callers=102, priority=1, objective_s=0.17, deadline_s=2.5
)
FAST, SLOW = ServerSettings(), ServerSettings(speed=0.5)
# Callers and servers of a deployment whose servers process one request at a time and
# reject what their short queue cannot take.
SMALL_SERVER = ServerSettings(slots=1, queue=4, has_rejections=True)
# Such servers of uneven speeds.
SMALL_SERVERS = tuple(
    attrs.evolve(SMALL_SERVER, speed=speed)
    for speed in (0.6, 0.8, 0.9, 1.0, 1.0, 1.1, 1.3, 1.5) * 2
)
URGENT_CALLERS = CallerSettings(
    callers=32, priority=1, objective_s=0.3, deadline_s=2.4, is_idempotent=False
)
OTHER_CALLERS = CallerSettings(callers=105, priority=2, objective_s=0.3, deadline_s=1.8)
OVERLOAD_START_S, OVERLOAD_END_S = 10, 22
GATE_OPTIONS = SteeringOptions(request_gate=RequestGateSettings(max_slots=3))


@attrs.frozen
class Policy:
    """Named set of steering settings."""

    name: str
    balancer: BalancerSteeringSettings = BalancerSteeringSettings()
    agent: AgentSteeringSettings = AgentSteeringSettings()


def _change_balancer(name: str, **options: float) -> Policy:
    return Policy(name, balancer=BalancerSteeringSettings(**options))


def _change_agent(name: str, **options: Any) -> Policy:
    return Policy(name, agent=AgentSteeringSettings(**options))


UNLIMITED = 1000.0
POLICIES = (
    Policy("default"),
    _change_balancer("no waiting", max_waiting=0),
    _change_balancer("no prediction of the wait", rate_window_s=UNLIMITED),
    _change_balancer("no polling", poll_s=UNLIMITED),
    _change_balancer("no memory of busy members", round_delay_s=0.0),
    _change_balancer("no comparison of members", sample=1),
    _change_balancer("no weight of the speed", speed_weight=0.0),
    _change_balancer("no penalty of cold servers", cold_penalty=0.0),
    _change_balancer("no suspicion", suspect_s=0.0, max_suspect_s=0.0),
    _change_agent("no offers", interest_s=0.0),
    _change_agent("expected requests in progress", max_admitted=1.0),
    _change_agent("expected requests not counted", max_admitted=UNLIMITED),
    _change_agent("no share for urgent flows", urgent_share=1.0),
    _change_agent("limit 0.8", max_load=0.8),
    _change_agent("limit 2", max_load=2.0, max_admitted=2.5),
    Policy(
        "request gate",
        BalancerSteeringSettings(options=GATE_OPTIONS),
        AgentSteeringSettings(options=GATE_OPTIONS),
    ),
    _change_agent("no limit", max_load=UNLIMITED, max_admitted=UNLIMITED),
    _change_agent("pace", options=SteeringOptions(pace=PaceSettings(max_slots=1))),
)


def run_mixed_speeds(policy: Policy, seed: int) -> Fleet:
    """Apply a steady load to servers of two speeds."""
    servers = (SLOW, SLOW, FAST, FAST, FAST)
    fleet = _build(policy, seed, servers, CallerSettings(callers=130))
    fleet.run_until(DURATION_S)
    return fleet


def run_overload(policy: Policy, seed: int) -> Fleet:
    """Apply twice the load that the servers can process."""
    callers = CallerSettings(callers=350, period_s=0.4)
    fleet = _build(policy, seed, (FAST,) * 3, callers)
    fleet.run_until(DURATION_S)
    return fleet


def run_power_loss(policy: Policy, seed: int) -> Fleet:
    """Stop and restart all processes under a high load."""
    fleet = _build(policy, seed, (FAST,) * 5, CallerSettings(callers=160))
    fleet.run_until(10)
    fleet.lose_power(1.2)
    fleet.run_until(DURATION_S)
    return fleet


def run_crash(policy: Policy, seed: int) -> Fleet:
    """Crash two of five servers for 4 s."""
    fleet = _build(policy, seed, (FAST,) * 5, CallerSettings(callers=160))
    _crash_two_servers(fleet, 10, 14)
    fleet.run_until(DURATION_S)
    return fleet


def run_burst(policy: Policy, seed: int) -> Fleet:
    """Triple the load of two classes for 5 s while two of seven servers are down."""
    fleet = _build_two_classes(
        policy,
        seed,
        attrs.evolve(SHORT_FLOW_CALLERS, callers=58, start_s=10, end_s=15),
        attrs.evolve(LONG_FLOW_CALLERS, callers=204, start_s=10, end_s=15),
    )
    _crash_two_servers(fleet, 9, 15)
    fleet.run_until(DURATION_S)
    return fleet


def run_scarcity(
    policy: Policy, seed: int, urgent: CallerSettings = URGENT_CALLERS
) -> Fleet:
    """Triple the load of two classes for 12 s while two of twelve servers are down."""
    times = {"start_s": OVERLOAD_START_S, "end_s": OVERLOAD_END_S}
    fleet = _build(
        policy,
        seed,
        (SMALL_SERVER,) * 12,
        urgent,
        OTHER_CALLERS,
        attrs.evolve(urgent, callers=2 * urgent.callers, **times),
        attrs.evolve(OTHER_CALLERS, callers=2 * OTHER_CALLERS.callers, **times),
        service_time_s=0.022,
        balancers=5,
    )
    _crash_two_servers(fleet, OVERLOAD_START_S, OVERLOAD_END_S)
    fleet.run_until(DURATION_S)
    return fleet


def run_scarcity_of_short_flows(policy: Policy, seed: int) -> Fleet:
    """Apply the same load with a flow for each request of the urgent class."""
    urgent = attrs.evolve(URGENT_CALLERS, keeps_flows=False)
    return run_scarcity(policy, seed, urgent)


def run_backlog(policy: Policy, seed: int) -> Fleet:
    """Stop and restart all processes while two classes of callers send requests."""
    fleet = _build_two_classes(policy, seed)
    fleet.run_until(10)
    fleet.lose_power(1.2)
    fleet.run_until(DURATION_S)
    return fleet


def run_down_and_up(policy: Policy, seed: int) -> Fleet:
    """Let a quarter of the servers fail all requests in every other second."""
    fleet = _build_small_servers(policy, seed)
    servers = fleet.servers[1::4]
    for start_s in range(8, 28, 2):
        fleet.run_until(start_s)
        for server in servers:
            server.crash()
            server.is_up = server.is_failing = True
        fleet.run_until(start_s + 1)
        for server in servers:
            server.is_failing = False
            server.restart()
    fleet.run_until(DURATION_S)
    return fleet


def run_return_of_third(policy: Policy, seed: int) -> Fleet:
    """Stop a third of the servers for 1.5 s, as a release of many at once does."""
    return _run_returns(policy, seed, 5)


def run_return_of_all(policy: Policy, seed: int) -> Fleet:
    """Stop all servers for 1.5 s, after which they are cold."""
    return _run_returns(policy, seed, len(SMALL_SERVERS))


PATTERNS: dict[str, Callable[[Policy, int], Fleet]] = {
    "mixed speeds": run_mixed_speeds,
    "overload": run_overload,
    "power loss": run_power_loss,
    "crash": run_crash,
    "burst": run_burst,
    "backlog": run_backlog,
    "down and up": run_down_and_up,
    "return of a third": run_return_of_third,
    "return of all": run_return_of_all,
    "scarcity": run_scarcity,
    "scarcity, short": run_scarcity_of_short_flows,
}


@attrs.frozen
class Result:
    """Number of requests of one run by outcome, and of broken flows."""

    pattern: str
    policy: str
    seed: int
    in_time: int
    late: int
    refused: int
    expired: int
    broken_flows: int


def measure_pattern(pattern: str, policy: Policy, seed: int) -> Result:
    """Run one pattern with one policy and count the outcomes after the warm-up."""
    report = PATTERNS[pattern](policy, seed).report
    counts = [report.count(outcome, WARM_UP_S, DURATION_S) for outcome in Outcome]
    return Result(pattern, policy.name, seed, *counts, report.broken_flows)


def _crash_two_servers(fleet: Fleet, start_s: float, end_s: float) -> None:
    fleet.run_until(start_s)
    for server in fleet.servers[:2]:
        server.crash()
    fleet.run_until(end_s)
    for server in fleet.servers[:2]:
        server.restart()


def _run_returns(policy: Policy, seed: int, count: int) -> Fleet:
    fleet = _build_small_servers(policy, seed)
    for start_s in (8, 18):
        fleet.run_until(start_s)
        for server in fleet.servers[:count]:
            server.crash()
        fleet.run_until(start_s + 1.5)
        for server in fleet.servers[:count]:
            server.restart()
    fleet.run_until(DURATION_S)
    return fleet


def _build_small_servers(policy: Policy, seed: int) -> Fleet:
    return _build(
        policy,
        seed,
        SMALL_SERVERS,
        attrs.evolve(SHORT_FLOW_CALLERS, callers=60, objective_s=0.25),
        attrs.evolve(LONG_FLOW_CALLERS, callers=215, objective_s=0.25),
        service_time_s=0.024,
        balancers=5,
    )


def _build_two_classes(policy: Policy, seed: int, *extra: CallerSettings) -> Fleet:
    """Return a fleet with callers that reuse flows and callers that do not."""
    return _build(
        policy,
        seed,
        (ServerSettings(slots=3, queue=10),) * 7,
        SHORT_FLOW_CALLERS,
        LONG_FLOW_CALLERS,
        *extra,
        service_time_s=0.038,
        balancers=5,
    )


def _build(
    policy: Policy,
    seed: int,
    servers: tuple[ServerSettings, ...],
    *groups: CallerSettings,
    service_time_s: float = FleetSettings().service_time_s,
    balancers: int = FleetSettings().balancers,
) -> Fleet:
    return Fleet(
        FleetSettings(
            balancers=balancers,
            service_time_s=service_time_s,
            servers=servers,
            callers=groups,
            seed=seed,
            balancer_steering=policy.balancer,
            agent_steering=policy.agent,
        )
    )
