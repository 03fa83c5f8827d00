import random
import types
from collections import Counter

from behave import then, when

from bramleystair.flows import FlowSettings
from bramleystair.flows._member_ranking import MemberLoad, MemberRanker
from bramleystair.tables import Member, Protocol, Table
from bramleystair.views import Candidate
from bramleystair.wire import ServiceLoad

RUNS = 20
CAP = 2_000


class Homes:
    """Members of one service that place flows by each other's load reports."""

    def __init__(self, seed, count, period, factors=()):
        self.random = random.Random(seed)
        self.names = [f"server-{number}" for number in range(count)]
        self.weights = {
            name: 1.0 + number % 4 for number, name in enumerate(self.names)
        }
        rows = (Member(n, "zone-1", w, CAP, 3) for n, w in self.weights.items())
        table = Table("feed", "10.1.0.1", 443, Protocol.TCP, tuple(rows))
        candidates = (Candidate(n, w, "zone-1", 1) for n, w in self.weights.items())
        self.service = types.SimpleNamespace(
            service_id=table.service_id, table=table, candidates=tuple(candidates)
        )
        self.placements = {
            name: MemberRanker(
                name,
                FlowSettings(),
                random.Random(seed + number),
                lambda _, server, home=name: self.placed[home, server],
            )
            for number, name in enumerate(self.names)
        }
        self.flows = dict.fromkeys(self.names, 0)
        self.placed = Counter()
        self.period = period
        self.report_factors = dict(zip(self.names, factors, strict=False))
        self.report_due_s = {
            name: self.random.uniform(0, period) for name in self.names
        }

    def send_reports(self, now):
        for name in self.names:
            if self.report_due_s[name] > now:
                continue
            self.report_due_s[name] += self.period
            flows = round(self.flows[name] * self.report_factors.get(name, 1.0))
            load = ServiceLoad(self.service.service_id, flows, 0, CAP, 3)
            for peer in self.names:
                if peer != name:
                    self.placements[peer].record_report(name, (load,), now)

    def place_flow(self, now):
        self.send_reports(now)
        home = self.random.choices(self.names, self.weights.values())[0]
        own = MemberLoad(home, self.weights[home], self.flows[home], CAP)
        target = self.placements[home].rank(self.service, own, now)[0]
        self.flows[target] += 1
        if target != home:
            self.placed[home, target] += 1
            self.placements[home].record_placed(self.service.service_id, target)

    def compute_deviation(self):
        unit = sum(self.flows.values()) / sum(self.weights.values())
        shares = {name: unit * weight for name, weight in self.weights.items()}
        return max(abs(self.flows[n] - shares[n]) / shares[n] for n in self.names)


@when(
    "{flows:d} flows arrive at {members:d} homes within {seconds:f} s, "
    "with reports each {period:f} s"
)
def place_flows(context, flows, members, seconds, period, factors=()):
    context.deviations = []
    for seed in range(RUNS):
        homes = Homes(seed, members, period, factors)
        for number in range(flows):
            homes.place_flow(seconds * number / flows)
        context.deviations.append(homes.compute_deviation())


@when(
    "{flows:d} flows arrive at {members:d} homes within {seconds:f} s "
    "while one member reports none of its flows and one 3 times as many"
)
def place_misreported(context, flows, members, seconds):
    place_flows(context, flows, members, seconds, 1.0, (0.0, 3.0))


@then("each member's share is within 10 % of the table's in all of {count:d} runs")
def check_shares(context, count):
    assert len(context.deviations) == count
    assert max(context.deviations) <= 0.10, sorted(context.deviations)
