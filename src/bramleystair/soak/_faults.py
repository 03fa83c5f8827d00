"""Injection of random faults into the processes of a soak run."""

import random as random_module
import signal
import time

import attrs

from bramleystair.soak import _writer_faults
from bramleystair.soak._fleet import BALANCERS, SERVERS, ProcessFleet
from bramleystair.soak._proxy import Mode

# No established flow may be reset by planned work, by other writers, or while the store
# loses responses.
UNPLANNED_FAULTS = (
    "kill_balancer",
    "pause_balancer",
    "kill_agent",
    "pause_agent",
    "kill_server",
    "pause_store",
    "restore_store",
    "proxy",
)
PLANNED_FAULTS = ("stop_balancer", "stop_agent", "configuration", "reload")
ROLL_FAULTS = ("roll_balancers", "roll_agents", "roll_nodes")
WRITER_FAULTS = ("change_entries", "add_objects")
LARGE_FAULTS = ("leave_large_objects",)
REPORT_FAULTS = ("post_reports", "odd_reports")
LOSS_FAULTS = ("lose_responses", "lose_kind")
CLOCK_FAULTS = ("step_clock",)
FAULT_KINDS = (
    *UNPLANNED_FAULTS,
    *PLANNED_FAULTS,
    *ROLL_FAULTS,
    *WRITER_FAULTS,
    *LARGE_FAULTS,
    *REPORT_FAULTS,
    *LOSS_FAULTS,
    *CLOCK_FAULTS,
)


@attrs.frozen
class FaultMix:
    """Faults of a run.

    Parameters
    ----------
    series : tuple of tuple of str
        Kinds of concurrent series of faults; each series has one fault at a time.
    reuse_share : float
        Share of flows that are short, and whose ports are used again.
    """

    series: tuple[tuple[str, ...], ...]
    reuse_share: float = 0.0


# Agents write their entries at their start, so balancers are restarted more often.
RESTART_FAULTS = ("roll_balancers", "roll_balancers", "stop_balancer", "stop_agent")
FAULT_MIXES = {
    "all": FaultMix((FAULT_KINDS, FAULT_KINDS), 0.3),
    "writer": FaultMix(
        (("change_entries",), ("add_objects", *LOSS_FAULTS), RESTART_FAULTS)
    ),
    "reports": FaultMix(
        (("post_reports",), ("odd_reports", *LOSS_FAULTS), RESTART_FAULTS)
    ),
    "large": FaultMix((LARGE_FAULTS, (*LARGE_FAULTS, "restore_store"), RESTART_FAULTS)),
    "restarts": FaultMix((("roll_nodes",), ROLL_FAULTS, LOSS_FAULTS)),
    "clock": FaultMix((CLOCK_FAULTS, CLOCK_FAULTS, ("roll_balancers",))),
    "ports": FaultMix((("roll_balancers",),), 0.6),
}
# Bounds of the age of the copy from which the store returns.
RESTORED_AGE_S = (1.0, 8.0)
# Bounds of the time until a node is back after a planned stop, and until the next one.
BACK_S = (0.3, 4.0)
NEXT_STOP_S = (0.2, 2.0)
# Bounds of the time from the start of a balancer until an agent is stopped.
AGENT_STOP_S = (0.0, 1.0)
# The time of day is ahead at the start of a server by one of these; its agent is
# stopped soon after.
CLOCK_STEPS_MS = (-2400, 2400)
COLD_S = 4.0
STOP_AFTER_START_S = (0.2, 0.8)
AGENT_BACK_S = (0.1, 0.6)


@attrs.frozen
class Fault:
    """Fault injected into a program between `start_s` and `end_s`."""

    kind: str
    target: str
    start_s: float
    end_s: float

    @property
    def is_unplanned(self) -> bool:
        """Whether the fault may break flows at the machine that it disturbs."""
        return self.kind in UNPLANNED_FAULTS


def inject_fault(
    fleet: ProcessFleet, source: random_module.Random, kinds: tuple[str, ...]
) -> list[Fault]:
    """Inject one random fault and end it; faults of other threads may overlap.

    Returns
    -------
    list of Fault
        The fault, or the faults that it consists of.
    """
    kind = source.choice(kinds)
    balancer = f"balancer-{source.randrange(BALANCERS)}"
    number = source.randrange(SERVERS)
    duration_s = source.uniform(0.2, 2.0)
    match kind:
        case "kill_balancer":
            return [_restart(fleet, kind, balancer, signal.SIGKILL, duration_s)]
        case "stop_balancer":
            return [_restart(fleet, kind, balancer, signal.SIGTERM, 0.2)]
        case "pause_balancer":
            return [_pause(fleet, kind, balancer, duration_s)]
        case "kill_agent":
            return [_restart(fleet, kind, f"agent-{number}", signal.SIGKILL, 0.3)]
        case "stop_agent":
            return [_restart(fleet, kind, f"agent-{number}", signal.SIGTERM, 0.1)]
        case "pause_agent":
            return [_pause(fleet, kind, f"agent-{number}", duration_s)]
        case "kill_server":
            name = f"server-{number}"
            return [_restart(fleet, kind, name, signal.SIGKILL, duration_s)]
        case "pause_store":
            return [_pause(fleet, kind, "store", duration_s)]
        case "step_clock":
            return _step_clock(fleet, number, source)
    start_s = time.monotonic()
    target = ""
    match kind:
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
        case "roll_balancers":
            _restart_in_turn(fleet, [f"balancer-{n}" for n in range(BALANCERS)], source)
        case "roll_agents":
            _restart_in_turn(fleet, [f"agent-{n}" for n in range(SERVERS)], source)
        case "roll_nodes":
            _restart_in_pairs(fleet, source)
        case "change_entries":
            target = _writer_faults.change_entries(fleet, source)
        case "add_objects":
            target = _writer_faults.add_objects(fleet, source)
        case "leave_large_objects":
            target = _writer_faults.leave_large_objects(fleet, source)
        case "post_reports":
            target = _writer_faults.post_reports(fleet, source)
        case "odd_reports":
            target = _writer_faults.make_reports_odd(fleet, source)
        case "lose_responses":
            target = _writer_faults.lose_responses(fleet, source)
        case "lose_kind":
            target = _writer_faults.lose_responses_of_kind(fleet, source)
        case _:
            raise ValueError(f"unknown fault {kind}")
    return [Fault(kind, target, start_s, time.monotonic())]


def _restart(
    fleet: ProcessFleet, kind: str, name: str, signal_number: int, down_s: float
) -> Fault:
    program = fleet.programs[name]
    with program.lock:
        start_s = time.monotonic()
        program.send(signal_number)
        program.process.wait(10)
        time.sleep(down_s)
        program.start()
        return Fault(kind, name, start_s, time.monotonic())


def _pause(fleet: ProcessFleet, kind: str, name: str, duration_s: float) -> Fault:
    program = fleet.programs[name]
    with program.lock:
        start_s = time.monotonic()
        program.send(signal.SIGSTOP)
        time.sleep(duration_s)
        program.send(signal.SIGCONT)
        return Fault(kind, name, start_s, time.monotonic())


def _restart_in_turn(
    fleet: ProcessFleet, names: list[str], source: random_module.Random
) -> None:
    """Stop some programs in turn as planned, each after the one before is back."""
    source.shuffle(names)
    for name in names[: source.randint(2, len(names))]:
        _restart(fleet, "", name, signal.SIGTERM, source.uniform(*BACK_S))
        time.sleep(source.uniform(*NEXT_STOP_S))


def _restart_in_pairs(fleet: ProcessFleet, source: random_module.Random) -> None:
    """Stop balancers in turn as planned, and an agent as each of them starts again."""
    numbers = source.sample(range(SERVERS), BALANCERS)
    for balancer, agent in enumerate(numbers):
        down_s = source.uniform(*BACK_S) / 4
        _restart(fleet, "", f"balancer-{balancer}", signal.SIGTERM, down_s)
        time.sleep(source.uniform(*AGENT_STOP_S))
        down_s = source.uniform(*BACK_S)
        _restart(fleet, "", f"agent-{agent}", signal.SIGTERM, down_s)


def _step_clock(
    fleet: ProcessFleet, number: int, source: random_module.Random
) -> list[Fault]:
    """Restart a server while the time of day is wrong, and stop its agent soon after.

    Flows of the earlier process of the server are lost; later ones are not.
    """
    server = f"server-{number}"
    program = fleet.programs[server]
    changes = {"born_offset_ms": source.choice(CLOCK_STEPS_MS), "cold_s": COLD_S}
    with program.lock:
        start_s = time.monotonic()
        program.kill()
        fleet.start_server(number, changes)
        killed = Fault("kill_server", server, start_s, time.monotonic())
    time.sleep(source.uniform(*STOP_AFTER_START_S))
    down_s = source.uniform(*AGENT_BACK_S)
    stopped = _restart(fleet, "stop_agent", f"agent-{number}", signal.SIGTERM, down_s)
    return [killed, stopped]
