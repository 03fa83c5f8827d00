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
    busy_hold_s : float
        Time for which a first packet waits for busy members.
    """

    name: str
    sample: int = BalancerSteeringSettings().sample
    max_load: float = AgentSteeringSettings().max_load
    busy_hold_s: float = BalancerSteeringSettings().busy_hold_s


POLICIES = (
    Policy("default"),
    Policy("random choice", sample=1),
    Policy("random choice, no limit", sample=1, max_load=1000),
    Policy("no limit", max_load=1000),
    Policy("limit 0.8", max_load=0.8),
    Policy("limit 1.5", max_load=1.5),
    Policy("limit 2", max_load=2.0),
    Policy("hold 0.2 s", busy_hold_s=0.2),
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


PATTERNS: dict[str, Callable[[Policy, int], Fleet]] = {
    "mixed speeds": run_mixed_speeds,
    "overload": run_overload,
    "power loss": run_power_loss,
    "crash": run_crash,
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


def _build(
    policy: Policy,
    seed: int,
    servers: tuple[ServerSettings, ...],
    callers: CallerSettings,
) -> Fleet:
    return Fleet(
        FleetSettings(
            servers=servers,
            callers=callers,
            seed=seed,
            balancer_steering=BalancerSteeringSettings(
                sample=policy.sample, busy_hold_s=policy.busy_hold_s
            ),
            agent_steering=AgentSteeringSettings(max_load=policy.max_load),
        )
    )
