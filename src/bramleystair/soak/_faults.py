"""Injection of random faults into the processes of a soak run."""

import random as random_module
import signal
import time

import attrs

from bramleystair.soak._fleet import BALANCERS, SERVERS, ProcessFleet
from bramleystair.soak._proxy import Mode

FAULT_KINDS = (
    "kill_balancer",
    "stop_balancer",
    "pause_balancer",
    "kill_agent",
    "stop_agent",
    "pause_agent",
    "kill_server",
    "pause_store",
    "restore_store",
    "proxy",
    "configuration",
    "reload",
)
# Planned work: no established flow may be reset by it.
PLANNED_FAULTS = frozenset({"stop_balancer", "stop_agent", "configuration", "reload"})


# Bounds of the age of the copy from which the store returns.
RESTORED_AGE_S = (1.0, 8.0)


@attrs.frozen
class Fault:
    """Fault injected into a program between `start_s` and `end_s`."""

    kind: str
    target: str
    start_s: float
    end_s: float


def inject_fault(fleet: ProcessFleet, source: random_module.Random) -> Fault:
    """Inject one random fault and end it; faults of other threads may overlap."""
    kind = source.choice(FAULT_KINDS)
    balancer = f"balancer-{source.randrange(BALANCERS)}"
    number = source.randrange(SERVERS)
    duration_s = source.uniform(0.2, 2.0)
    start_s = time.monotonic()
    target = ""
    match kind:
        case "kill_balancer":
            target = balancer
            _restart(fleet, target, signal.SIGKILL, duration_s)
        case "stop_balancer":
            target = balancer
            _restart(fleet, target, signal.SIGTERM, 0.2)
        case "pause_balancer":
            target = balancer
            _pause(fleet, target, duration_s)
        case "kill_agent":
            target = f"agent-{number}"
            _restart(fleet, target, signal.SIGKILL, 0.3)
        case "stop_agent":
            target = f"agent-{number}"
            _restart(fleet, target, signal.SIGTERM, 0.1)
        case "pause_agent":
            target = f"agent-{number}"
            _pause(fleet, target, duration_s)
        case "kill_server":
            target = f"server-{number}"
            _restart(fleet, target, signal.SIGKILL, duration_s)
        case "pause_store":
            target = "store"
            _pause(fleet, target, duration_s)
        case "restore_store":
            target = "store"
            fleet.restore_store(source.uniform(*RESTORED_AGE_S), duration_s)
        case "proxy":
            target = source.choice(list(fleet.proxies))
            proxy = fleet.proxies[target]
            proxy.mode = source.choice([m for m in Mode if m is not Mode.PASS])
            time.sleep(duration_s)
            proxy.mode = Mode.PASS
        case "configuration":
            fleet.change_configuration()
        case "reload":
            target = balancer
            fleet.programs[target].send(signal.SIGHUP)
    return Fault(kind, target, start_s, time.monotonic())


def _restart(fleet: ProcessFleet, name: str, signal_number: int, down_s: float) -> None:
    program = fleet.programs[name]
    program.send(signal_number)
    program.process.wait(10)
    time.sleep(down_s)
    program.start()


def _pause(fleet: ProcessFleet, name: str, duration_s: float) -> None:
    program = fleet.programs[name]
    program.send(signal.SIGSTOP)
    time.sleep(duration_s)
    program.send(signal.SIGCONT)
