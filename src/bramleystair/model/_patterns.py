"""Load patterns that policies are compared on."""

from collections.abc import Callable

import attrs

from bramleystair.model._callers import CallerSettings, Outcome
from bramleystair.model._fleet import Fleet, FleetSettings
from bramleystair.model._servers import ServerSettings
from bramleystair.steering.agent import AgentSteeringSettings
from bramleystair.steering.balancer import BalancerSteeringSettings

DURATION_S = 30
# The first seconds fill an empty deployment.
START_S = 5
CLAIMS = CallerSettings(
    callers=29,
    priority=0,
    objective_s=0.22,
    deadline_s=3.0,
    is_idempotent=False,
    keeps_flows=False,
)
FEEDS = CallerSettings(callers=102, priority=1, objective_s=0.17, deadline_s=2.5)
FAST, SLOW = ServerSettings(), ServerSettings(speed=0.5)


@attrs.frozen
class Policy:
    """Limits that are compared.

    Parameters
    ----------
    sample : int
        Members compared for each new flow; 1 is a random choice.
    max_load : float
        Requests in progress per slot from which an agent refuses.
    max_admitted : float
        Requests per slot in progress or expected from which an agent refuses.
    max_waiting : int
        First packets that wait for busy members at a balancer.
    """

    name: str
    sample: int = BalancerSteeringSettings().sample
    max_load: float = AgentSteeringSettings().max_load
    max_admitted: float = AgentSteeringSettings().max_admitted
    max_waiting: int = BalancerSteeringSettings().max_waiting


POLICIES = (
    Policy("default"),
    Policy("random choice", sample=1),
    Policy("random choice, no limit", 1, max_load=1000, max_admitted=1000),
    Policy("no limit", max_load=1000, max_admitted=1000),
    Policy("limit 0.8", max_load=0.8),
    Policy("limit 1.5", max_load=1.5),
    Policy("limit 2", max_load=2.0, max_admitted=2.0),
    Policy("expected as in progress", max_admitted=1.0),
    Policy("expected not counted", max_admitted=1000),
    Policy("no waiting", max_waiting=0),
)


def run_mixed_speeds(policy: Policy, seed: int) -> Fleet:
    """Serve a steady load with servers of two speeds."""
    servers = (SLOW, SLOW, FAST, FAST, FAST)
    fleet = _build(policy, seed, servers, CallerSettings(callers=130))
    fleet.run_until(DURATION_S)
    return fleet


def run_overload(policy: Policy, seed: int) -> Fleet:
    """Serve twice the load that the servers bear."""
    callers = CallerSettings(callers=350, period_s=0.4)
    fleet = _build(policy, seed, (FAST,) * 3, callers)
    fleet.run_until(DURATION_S)
    return fleet


def run_power_loss(policy: Policy, seed: int) -> Fleet:
    """Lose and regain all processes under a high load."""
    fleet = _build(policy, seed, (FAST,) * 5, CallerSettings(callers=160))
    fleet.run_until(10)
    fleet.lose_power(1.2)
    fleet.run_until(DURATION_S)
    return fleet


def run_crash(policy: Policy, seed: int) -> Fleet:
    """Lose two of five servers for a few seconds."""
    fleet = _build(policy, seed, (FAST,) * 5, CallerSettings(callers=160))
    fleet.run_until(10)
    for server in fleet.servers[:2]:
        server.crash()
    fleet.run_until(14)
    for server in fleet.servers[:2]:
        server.restart()
    fleet.run_until(DURATION_S)
    return fleet


def run_burst(policy: Policy, seed: int) -> Fleet:
    """Triple the traffic of two classes for 5 s while two of seven servers are down."""
    fleet = _build_two_classes(
        policy,
        seed,
        attrs.evolve(CLAIMS, callers=58, start_s=10, end_s=15),
        attrs.evolve(FEEDS, callers=204, start_s=10, end_s=15),
    )
    fleet.run_until(9)
    for server in fleet.servers[:2]:
        server.crash()
    fleet.run_until(15)
    for server in fleet.servers[:2]:
        server.restart()
    fleet.run_until(DURATION_S)
    return fleet


def run_backlog(policy: Policy, seed: int) -> Fleet:
    """Lose and regain all processes while two classes of callers go on."""
    fleet = _build_two_classes(policy, seed)
    fleet.run_until(10)
    fleet.lose_power(1.2)
    fleet.run_until(DURATION_S)
    return fleet


PATTERNS: dict[str, Callable[[Policy, int], Fleet]] = {
    "mixed speeds": run_mixed_speeds,
    "overload": run_overload,
    "power loss": run_power_loss,
    "crash": run_crash,
    "burst": run_burst,
    "backlog": run_backlog,
}


@attrs.frozen
class Result:
    """Requests of one run by outcome, and flows broken."""

    pattern: str
    policy: str
    seed: int
    in_time: int
    late: int
    refused: int
    expired: int
    broken_flows: int


def measure(pattern: str, policy: Policy, seed: int) -> Result:
    """Run one pattern with one policy."""
    report = PATTERNS[pattern](policy, seed).report
    counts = [report.count(outcome, START_S, DURATION_S) for outcome in Outcome]
    return Result(pattern, policy.name, seed, *counts, report.broken_flows)


def _build_two_classes(policy: Policy, seed: int, *extra: CallerSettings) -> Fleet:
    """Return a fleet whose callers hold long flows or open one for each request."""
    return _build(
        policy,
        seed,
        (ServerSettings(slots=3, queue=10),) * 7,
        CLAIMS,
        FEEDS,
        *extra,
        work_s=0.038,
        balancers=5,
    )


def _build(
    policy: Policy,
    seed: int,
    servers: tuple[ServerSettings, ...],
    *groups: CallerSettings,
    work_s: float = FleetSettings().work_s,
    balancers: int = FleetSettings().balancers,
) -> Fleet:
    return Fleet(
        FleetSettings(
            balancers=balancers,
            work_s=work_s,
            servers=servers,
            callers=groups,
            seed=seed,
            balancer_steering=BalancerSteeringSettings(
                sample=policy.sample, max_waiting=policy.max_waiting
            ),
            agent_steering=AgentSteeringSettings(
                max_load=policy.max_load, max_admitted=policy.max_admitted
            ),
        )
    )
