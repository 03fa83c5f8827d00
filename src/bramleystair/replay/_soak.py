"""Generated histories of pairs of faults."""

import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from bramleystair.replay._deployments import Deployment, build_deployment
from bramleystair.replay._trace import Event, Expectation, Trace

DEPLOYMENTS = ("tres_lunas", "mia_duong")
BALANCERS_PER_ZONE = 1
LENGTH_S = 120.0
FIRST_FAULT_S = (15.0, 35.0)
# The second fault begins while the effects of the first one last.
GAP_S = (0.0, 12.0)
MEASURES = (
    "broken_flows",
    "silent_flows",
    "unanswered_opens",
    "late_changes",
    "lost_requests",
)


@attrs.frozen
class History:
    """A generated trace and the two faults in it."""

    faults: tuple[str, str]
    trace: Trace


class _Generator:
    def __init__(self, source: random.Random, deployment: Deployment) -> None:
        self.source = source
        self.deployment = deployment
        self.balancer_count = BALANCERS_PER_ZONE * len(deployment.zones)

    def choose_server(self) -> str:
        return self.source.choice(self.deployment.servers).name

    def choose_zone(self) -> str:
        return self.source.choice(self.deployment.zones)

    def choose_balancer(self) -> str:
        return f"balancer-{self.source.randrange(self.balancer_count)}"

    def edit_table(self, at_s: float) -> list[Event]:
        table = self.source.choice(self.deployment.tables)
        server = self.source.choice(table.members).server
        events = []
        for number in range(self.source.randint(1, 3)):
            weight = self.source.choice((0.0, 1.0, 2.0, 4.0))
            values = {"service": table.service, "server": server, "weight": weight}
            events.append(Event(at_s + number, "operator", "set_row", values))
        return events

    def fail_balancer(self, at_s: float) -> list[Event]:
        name = self.choose_balancer()
        back_s = at_s + self.source.uniform(1, 20)
        return [Event(at_s, name, "fail"), Event(back_s, name, "start")]

    def join_balancer(self, at_s: float) -> list[Event]:
        zone = self.choose_zone()
        return [Event(at_s, "balancer-50", "start", {"zone": zone})]

    def fail_server(self, at_s: float) -> list[Event]:
        name = self.choose_server()
        back_s = at_s + self.source.uniform(0.5, 30)
        return [Event(at_s, name, "fail"), Event(back_s, name, "start")]

    def drain_server(self, at_s: float) -> list[Event]:
        return [Event(at_s, self.choose_server(), "drain")]

    def cool_server(self, at_s: float) -> list[Event]:
        return [Event(at_s, self.choose_server(), "cold")]

    def mark_zone(self, at_s: float) -> list[Event]:
        zone = {"zone": self.choose_zone()}
        back_s = at_s + self.source.uniform(4, 30)
        return [
            Event(at_s, "operator", "zone_out", zone),
            Event(back_s, "operator", "zone_in", zone),
        ]

    def flip_zone(self, at_s: float) -> list[Event]:
        zone = {"zone": self.choose_zone()}
        names = ("zone_out", "zone_in", "zone_out")
        return [
            Event(at_s + 0.2 * number, "operator", name, zone)
            for number, name in enumerate(names)
        ]

    def stop_platform(self, at_s: float) -> list[Event]:
        back_s = at_s + self.source.uniform(5, 60)
        return [
            Event(at_s, "platform", "lose_answers", {"count": 5}),
            Event(at_s, "platform", "down"),
            Event(back_s, "platform", "up"),
        ]

    def cut_zone(self, at_s: float) -> list[Event]:
        zones = {"zones": [self.choose_zone()]}
        back_s = at_s + self.source.uniform(2, 30)
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
        back_s = at_s + self.source.uniform(2, 15)
        return [
            Event(at_s, "network", "set", {"dropped_kinds": kinds}),
            Event(back_s, "network", "set", {"dropped_kinds": []}),
        ]

    def disturb_network(self, at_s: float) -> list[Event]:
        bad = {"loss": 0.02, "doubled": 0.05, "extra_delay_s": 0.3}
        back_s = at_s + self.source.uniform(5, 40)
        return [
            Event(at_s, "network", "set", bad),
            Event(back_s, "network", "set", dict.fromkeys(bad, 0.0)),
        ]

    def storm_requests(self, at_s: float) -> list[Event]:
        service = self.deployment.tables[1].service
        values = {"service": service, "rate_per_s": 80, "for_s": 10, "deadline_s": 3}
        return [Event(at_s, "callers", "requests", values)]

    def _pause(self, name: str, at_s: float) -> list[Event]:
        back_s = at_s + self.source.uniform(0.5, 20)
        return [Event(at_s, name, "pause"), Event(back_s, name, "resume")]


FAULTS: dict[str, Callable[[_Generator, float], list[Event]]] = {
    "table_edit": _Generator.edit_table,
    "balancer_death": _Generator.fail_balancer,
    "balancer_join": _Generator.join_balancer,
    "server_death": _Generator.fail_server,
    "drain": _Generator.drain_server,
    "cold": _Generator.cool_server,
    "zone_out_in": _Generator.mark_zone,
    "zone_out_in_out": _Generator.flip_zone,
    "platform_outage": _Generator.stop_platform,
    "zone_cut": _Generator.cut_zone,
    "agent_paused": _Generator.pause_agent,
    "balancer_paused": _Generator.pause_balancer,
    "redirects_lost": _Generator.lose_redirects,
    "network": _Generator.disturb_network,
    "request_storm": _Generator.storm_requests,
}
PAIRS = tuple(itertools.combinations_with_replacement(FAULTS, 2))
# Without a common divisor with the number of pairs, so that a few histories already
# hold most kinds of fault.
PAIR_STRIDE = 37


def generate_histories(count: int, seed: int) -> Iterator[History]:
    """Yield `count` histories; each pair of faults occurs once in `len(PAIRS)`."""
    for number in range(count):
        pair = PAIRS[number * PAIR_STRIDE % len(PAIRS)]
        yield _generate_history(pair, number, seed)


def _generate_history(pair: tuple[str, str], number: int, seed: int) -> History:
    source = random.Random(f"{seed} {number}")
    name = DEPLOYMENTS[source.randrange(len(DEPLOYMENTS))]
    deployment = build_deployment(name)
    generator = _Generator(source, deployment)
    first_s = source.uniform(*FIRST_FAULT_S)
    second_s = first_s + source.uniform(*GAP_S)
    events = [*_use_services(deployment, source)]
    events += FAULTS[pair[0]](generator, first_s)
    events += FAULTS[pair[1]](generator, second_s)
    setup = {
        "deployment": name,
        "seed": source.getrandbits(31),
        "balancers_per_zone": BALANCERS_PER_ZONE,
    }
    events.sort(key=lambda event: event.time_s)
    bounds = tuple(Expectation(measure, None, 0.0) for measure in MEASURES)
    trace_name = f"soak-{seed}-{number}-{pair[0]}-{pair[1]}"
    trace = Trace(trace_name, setup, tuple(events), bounds, LENGTH_S)
    return History(pair, trace)


def _use_services(deployment: Deployment, source: random.Random) -> Iterator[Event]:
    """Yield the callers' part: open flows, new ones, closes, and requests."""
    first, second = (table.service for table in deployment.tables)
    yield Event(0.0, "callers", "open", {"service": first, "count": 150, "spread_s": 8})
    yield Event(0.0, "callers", "open", {"service": second, "count": 50, "spread_s": 8})
    requests = {"service": second, "rate_per_s": 3, "for_s": 90, "deadline_s": 5}
    yield Event(5.0, "callers", "requests", requests)
    later = {"service": first, "count": 80, "spread_s": 60}
    yield Event(15.0, "callers", "open", later)
    yield Event(source.uniform(20, 60), "callers", "close", later)
