"""Generator of traces that combine two faults."""

import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from bramleystair.replay._deployments import Deployment, build_deployment
from bramleystair.replay._trace import Event, Expectation, Trace

DEPLOYMENTS = ("tres_lunas", "mia_duong")
BALANCERS_PER_ZONE = 1
DURATION_S = 120.0
FIRST_FAULT_S = (15.0, 35.0)
# The second fault begins while the first one still has effects.
FAULT_GAP_S = (0.0, 12.0)
ZERO_MEASURES = (
    "broken_flows",
    "silent_flows",
    "unanswered_opens",
    "late_changes",
    "lost_requests",
)


@attrs.frozen
class History:
    """A generated trace and the names of its two faults."""

    faults: tuple[str, str]
    trace: Trace


class _FaultGenerator:
    """Generate the events of each type of fault with random targets and times."""

    def __init__(self, rng: random.Random, deployment: Deployment) -> None:
        self.rng = rng
        self.deployment = deployment
        self.balancer_count = BALANCERS_PER_ZONE * len(deployment.zones)

    def choose_server(self) -> str:
        return self.rng.choice(self.deployment.servers).name

    def choose_zone(self) -> str:
        return self.rng.choice(self.deployment.zones)

    def choose_balancer(self) -> str:
        return f"balancer-{self.rng.randrange(self.balancer_count)}"

    def edit_table(self, at_s: float) -> list[Event]:
        table = self.rng.choice(self.deployment.tables)
        server = self.rng.choice(table.members).server
        events = []
        for number in range(self.rng.randint(1, 3)):
            weight = self.rng.choice((0.0, 1.0, 2.0, 4.0))
            values = {"service": table.service, "server": server, "weight": weight}
            events.append(Event(at_s + number, "operator", "set_row", values))
        return events

    def restart_balancer(self, at_s: float) -> list[Event]:
        name = self.choose_balancer()
        back_s = at_s + self.rng.uniform(1, 20)
        return [Event(at_s, name, "fail"), Event(back_s, name, "start")]

    def join_balancer(self, at_s: float) -> list[Event]:
        zone = self.choose_zone()
        return [Event(at_s, "balancer-50", "start", {"zone": zone})]

    def restart_server(self, at_s: float) -> list[Event]:
        name = self.choose_server()
        back_s = at_s + self.rng.uniform(0.5, 30)
        return [Event(at_s, name, "fail"), Event(back_s, name, "start")]

    def drain_server(self, at_s: float) -> list[Event]:
        return [Event(at_s, self.choose_server(), "drain")]

    def restart_warm_up(self, at_s: float) -> list[Event]:
        return [Event(at_s, self.choose_server(), "cold")]

    def take_zone_out_and_in(self, at_s: float) -> list[Event]:
        zone = {"zone": self.choose_zone()}
        back_s = at_s + self.rng.uniform(4, 30)
        return [
            Event(at_s, "operator", "zone_out", zone),
            Event(back_s, "operator", "zone_in", zone),
        ]

    def take_zone_out_in_out(self, at_s: float) -> list[Event]:
        zone = {"zone": self.choose_zone()}
        names = ("zone_out", "zone_in", "zone_out")
        return [
            Event(at_s + 0.2 * number, "operator", name, zone)
            for number, name in enumerate(names)
        ]

    def stop_platform(self, at_s: float) -> list[Event]:
        back_s = at_s + self.rng.uniform(5, 60)
        return [
            Event(at_s, "platform", "lose_answers", {"count": 5}),
            Event(at_s, "platform", "down"),
            Event(back_s, "platform", "up"),
        ]

    def restore_platform(self, at_s: float) -> list[Event]:
        back_s = at_s + self.rng.uniform(0.5, 5)
        age = {"age_s": self.rng.uniform(2, 15)}
        return [
            Event(at_s, "platform", "down"),
            Event(back_s, "platform", "restored", age),
            Event(back_s, "platform", "up"),
        ]

    def partition_zone(self, at_s: float) -> list[Event]:
        zones = {"zones": [self.choose_zone()]}
        back_s = at_s + self.rng.uniform(2, 30)
        return [
            Event(at_s, "network", "cut", zones),
            Event(back_s, "network", "heal"),
        ]

    def pause_agent(self, at_s: float) -> list[Event]:
        return self._pause(self.choose_server(), at_s)

    def pause_balancer(self, at_s: float) -> list[Event]:
        return self._pause(self.choose_balancer(), at_s)

    def lose_redirects(self, at_s: float) -> list[Event]:
        kinds = ["RedirectPut", "RedirectDrop"]
        back_s = at_s + self.rng.uniform(2, 15)
        return [
            Event(at_s, "network", "set", {"dropped_kinds": kinds}),
            Event(back_s, "network", "set", {"dropped_kinds": []}),
        ]

    def degrade_network(self, at_s: float) -> list[Event]:
        bad = {"loss": 0.02, "doubled": 0.05, "extra_delay_s": 0.3}
        back_s = at_s + self.rng.uniform(5, 40)
        return [
            Event(at_s, "network", "set", bad),
            Event(back_s, "network", "set", dict.fromkeys(bad, 0.0)),
        ]

    def add_request_burst(self, at_s: float) -> list[Event]:
        service = self.deployment.tables[1].service
        values = {"service": service, "rate_per_s": 80, "for_s": 10, "deadline_s": 3}
        return [Event(at_s, "callers", "requests", values)]

    def _pause(self, name: str, at_s: float) -> list[Event]:
        back_s = at_s + self.rng.uniform(0.5, 20)
        return [Event(at_s, name, "pause"), Event(back_s, name, "resume")]


FAULTS: dict[str, Callable[[_FaultGenerator, float], list[Event]]] = {
    "table_edit": _FaultGenerator.edit_table,
    "balancer_death": _FaultGenerator.restart_balancer,
    "balancer_join": _FaultGenerator.join_balancer,
    "server_death": _FaultGenerator.restart_server,
    "drain": _FaultGenerator.drain_server,
    "cold": _FaultGenerator.restart_warm_up,
    "zone_out_in": _FaultGenerator.take_zone_out_and_in,
    "zone_out_in_out": _FaultGenerator.take_zone_out_in_out,
    "platform_outage": _FaultGenerator.stop_platform,
    "platform_restored": _FaultGenerator.restore_platform,
    "zone_cut": _FaultGenerator.partition_zone,
    "agent_paused": _FaultGenerator.pause_agent,
    "balancer_paused": _FaultGenerator.pause_balancer,
    "redirects_lost": _FaultGenerator.lose_redirects,
    "network": _FaultGenerator.degrade_network,
    "request_storm": _FaultGenerator.add_request_burst,
}
PAIRS = tuple(itertools.combinations_with_replacement(FAULTS, 2))
# Coprime to the number of pairs, so that every pair occurs and that a few histories
# already contain most types of fault.
PAIR_STRIDE = 37


def generate_histories(count: int, seed: int) -> Iterator[History]:
    """Yield `count` histories; each pair occurs once in every `len(PAIRS)`."""
    for number in range(count):
        pair = PAIRS[number * PAIR_STRIDE % len(PAIRS)]
        yield _generate_history(pair, number, seed)


def _generate_history(pair: tuple[str, str], number: int, seed: int) -> History:
    rng = random.Random(f"{seed} {number}")
    name = DEPLOYMENTS[rng.randrange(len(DEPLOYMENTS))]
    deployment = build_deployment(name)
    generator = _FaultGenerator(rng, deployment)
    first_s = rng.uniform(*FIRST_FAULT_S)
    second_s = first_s + rng.uniform(*FAULT_GAP_S)
    events = [*_generate_load(deployment, rng)]
    events += FAULTS[pair[0]](generator, first_s)
    events += FAULTS[pair[1]](generator, second_s)
    setup = {
        "deployment": name,
        "seed": rng.getrandbits(31),
        "balancers_per_zone": BALANCERS_PER_ZONE,
    }
    events.sort(key=lambda event: event.time_s)
    expectations = tuple(Expectation(measure, None, 0.0) for measure in ZERO_MEASURES)
    trace_name = f"soak-{seed}-{number}-{pair[0]}-{pair[1]}"
    trace = Trace(trace_name, setup, tuple(events), expectations, DURATION_S)
    return History(pair, trace)


def _generate_load(deployment: Deployment, rng: random.Random) -> Iterator[Event]:
    """Yield the events of the callers: flows are opened and closed, requests sent."""
    first, second = (table.service for table in deployment.tables)
    yield Event(0.0, "callers", "open", {"service": first, "count": 150, "spread_s": 8})
    yield Event(0.0, "callers", "open", {"service": second, "count": 50, "spread_s": 8})
    requests = {"service": second, "rate_per_s": 3, "for_s": 90, "deadline_s": 5}
    yield Event(5.0, "callers", "requests", requests)
    later = {"service": first, "count": 80, "spread_s": 60}
    yield Event(15.0, "callers", "open", later)
    yield Event(rng.uniform(20, 60), "callers", "close", later)
