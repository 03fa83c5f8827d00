"""Comparison of strategies to spread a new version among balancers."""

import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random

import attrs

from bramleystair.actions import Send
from bramleystair.bench._fleet import build_fleet, populate_stores
from bramleystair.bench._report import write_data, write_spread_page
from bramleystair.bench._simulated_network import SimulatedNetwork
from bramleystair.replicas import MessageArrived, PlatformObjects, Tick
from bramleystair.tables import Member, Protocol, Table, encode_object
from bramleystair.wire import (
    Digest,
    Objects,
    Pull,
    StoredObject,
    VersionHeader,
    VersionHeaders,
)

BUCKET_COUNT = 16
# Four members per service, as at the planned size.
MEMBERS = tuple(Member(f"server-{i}", f"zone-{i}", 1.0, 2000, 3) for i in range(4))
DIGEST_PERIOD_S = 1.0
TIME_LIMIT_S = 60.0
PULL_RETRY_S = 1.0
KEY = "table/feed"


@attrs.frozen
class Strategy:
    """Strategy to spread a new version of an object.

    Parameters
    ----------
    name : str
        Name in the comparison.
    fanout : int
        Number of peers notified of a new version; 0 for none.
    is_body_pushed : bool
        Whether the notification carries the body instead of a header.
    excluded : str
        Peers that are not notified: "nobody", the "sender" of the version, or all nodes
        on its "path", which the messages then carry.
    is_pulled : bool
        Whether each node sends a digest to one random peer per second.
    """

    name: str
    fanout: int
    is_body_pushed: bool
    excluded: str
    is_pulled: bool


STRATEGIES = (
    Strategy("flooding to all peers", 10**6, True, "nobody", False),
    Strategy("flooding to 4 peers", 4, True, "nobody", True),
    Strategy("periodic pull", 0, False, "nobody", True),
    Strategy("header first, 2 peers", 2, False, "nobody", True),
    Strategy("header first, 4 peers", 4, False, "nobody", True),
    Strategy("header first, 4 peers, sender excluded", 4, False, "sender", True),
    Strategy("header first, 4 peers, path excluded", 4, False, "path", True),
    Strategy("header first, 6 peers", 6, False, "nobody", True),
)
SEEDS = 5


class SpreadNode:
    """Node that spreads a single object by a given strategy, and does nothing else.

    `BalancerReplica` implements one strategy only. This node implements all of them, so
    that they are compared with the same messages.
    """

    def __init__(
        self, name: str, peers: list[str], strategy: Strategy, random: Random
    ) -> None:
        self.name = name
        self.item = StoredObject(KEY, 0)
        self._peers = peers
        self._strategy = strategy
        self._random = random
        self._pull_sent_s = -PULL_RETRY_S
        self._header_path: tuple[str, ...] = ()
        self._next_digest_s = DIGEST_PERIOD_S * random.random()

    def handle(self, event, now: float) -> list[Send]:
        """Handle `event` and return the messages to send."""
        match event:
            case Tick():
                return self._send_digest(now)
            case MessageArrived(sender, VersionHeaders(headers, _, path)):
                return self._handle_header(sender, headers[0], path, now)
            case MessageArrived(sender, Digest(buckets)):
                return self._handle_digest(sender, buckets[0])
            case MessageArrived(sender, Pull()):
                return [Send(sender, Objects((self.item,)))]
            case MessageArrived(sender, Objects(objects)):
                return self._handle_body(sender, objects[0])
        return []

    def accept_from_platform(self, item: StoredObject) -> list[Send]:
        """Store a version received from the platform and notify peers."""
        self.item = item
        return self._announce(())

    def _send_digest(self, now: float) -> list[Send]:
        if not self._strategy.is_pulled or now < self._next_digest_s:
            return []
        self._next_digest_s = now + DIGEST_PERIOD_S
        digest = Digest((self.item.version,) * BUCKET_COUNT)
        return [Send(self._random.choice(self._peers), digest)]

    def _handle_digest(self, sender: str, version: int) -> list[Send]:
        if version >= self.item.version:
            return []
        header = VersionHeader(KEY, self.item.version)
        return [Send(sender, VersionHeaders((header,), 0, ()))]

    def _handle_header(
        self, sender: str, header: VersionHeader, path: tuple[str, ...], now: float
    ) -> list[Send]:
        is_pull_pending = now < self._pull_sent_s + PULL_RETRY_S
        if header.version <= self.item.version or is_pull_pending:
            return []
        self._pull_sent_s = now
        self._header_path = path or (sender,)
        return [Send(sender, Pull((KEY,)))]

    def _handle_body(self, sender: str, item: StoredObject) -> list[Send]:
        if item.version <= self.item.version:
            return []
        self.item = item
        return self._announce(self._header_path or (sender,))

    def _announce(self, path: tuple[str, ...]) -> list[Send]:
        excluded = () if self._strategy.excluded == "nobody" else path
        peers = [peer for peer in self._peers if peer not in excluded]
        count = min(self._strategy.fanout, len(peers))
        if self._strategy.is_body_pushed:
            message = Objects((self.item,))
        else:
            header = VersionHeader(KEY, self.item.version)
            is_path_carried = self._strategy.excluded == "path"
            next_path = (*path, self.name) if is_path_carried else ()
            message = VersionHeaders((header,), len(path), next_path)
        return [Send(peer, message) for peer in self._random.sample(peers, count)]


def measure_strategy(strategy: Strategy, count: int, loss: float, seed: int) -> dict:
    """Return the time and messages until `count` nodes hold a version."""
    random = Random(f"{seed} {count}")
    network = SimulatedNetwork(random)
    network.faults.loss = loss
    names = [f"b{index}" for index in range(count)]
    for name in names:
        peers = [peer for peer in names if peer != name]
        network.add(name, SpreadNode(name, peers, strategy, Random(f"{seed} {name}")))
    network.run(2.0)
    network.reset_counts()
    table = Table("feed", "10.0.0.1", 80, Protocol.UDP, MEMBERS)
    item = StoredObject(KEY, 7, "n" * 16, encode_object(table))
    for send in network.replicas["b0"].accept_from_platform(item):
        network.send("b0", send)
    nodes = list(network.replicas.values())
    elapsed_s = network.run_until(
        lambda: all(node.item.version == 7 for node in nodes), TIME_LIMIT_S
    )
    held = sum(node.item.version == 7 for node in nodes)
    return _build_row(strategy.name, network, count, loss, held, elapsed_s)


def measure_balancer_replicas(count: int, loss: float, seed: int) -> dict:
    """Return the time and messages until `count` balancer replicas hold a version."""
    network = SimulatedNetwork(Random(f"{seed} {count}"))
    network.faults.loss = loss
    fleet = build_fleet(count, 0, min(count // 2, 15), (), seed)
    populate_stores(fleet)
    for name, replica in fleet.items():
        network.add(name, replica)
    network.run(2.0)
    network.reset_counts()
    table = Table("feed", "10.0.0.1", 80, Protocol.UDP, MEMBERS)
    item = StoredObject(KEY, 7, "n" * 16, encode_object(table))
    network.deliver("b0", PlatformObjects((item,)))
    stores = [replica.store for replica in fleet.values()]
    elapsed_s = network.run_until(
        lambda: all(store.get_version(KEY) == 7 for store in stores), TIME_LIMIT_S
    )
    held = sum(store.get_version(KEY) == 7 for store in stores)
    return _build_row("as built", network, count, loss, held, elapsed_s)


def _build_row(
    name: str,
    network: SimulatedNetwork,
    count: int,
    loss: float,
    held: int,
    elapsed_s: float,
) -> dict:
    # Digests and heartbeats are background traffic, independent of changes.
    for kind in ("Digest", "Heartbeat", "HeartbeatReply"):
        network.messages.pop(kind, None)
        network.bytes.pop(kind, None)
    return {
        "strategy": name,
        "nodes": count,
        "loss": loss,
        "held": held / count,
        "seconds": elapsed_s,
        "messages": network.messages.total() / count,
        "bytes": network.bytes.total() / count,
    }


def measure_spread(*, seed: int = 1, output: Path = Path("docs/capacity")) -> None:
    """Compare strategies to spread a new version at 10, 100 and 1,200 nodes.

    Parameters
    ----------
    seed : int
        First of five seeds for latency, losses and random choices.
    output : Path
        Directory of the data; spread.md is written to its parent.
    """
    seeds = range(seed, seed + SEEDS)
    with ProcessPoolExecutor(SEEDS) as pool:
        runs = list(pool.map(_run_strategies, seeds))
    rows = [_summarise(samples) for samples in zip(*runs, strict=True)]
    data = {
        "command": f"bramleystair-bench spread --seed {seed}",
        "seeds": list(seeds),
        "rows": rows,
    }
    write_data(output / "spread.json", data)
    write_spread_page(output)


def _run_strategies(seed: int) -> list[dict]:
    rows = []
    for count in (10, 100, 1200):
        for loss in (0.0, 0.05):
            for strategy in STRATEGIES:
                if strategy.fanout > 100 and count > 100:
                    # Flooding among 1,200 nodes would send 1.4 million messages.
                    continue
                rows.append(measure_strategy(strategy, count, loss, seed))
            rows.append(measure_balancer_replicas(count, loss, seed))
    return rows


def _summarise(samples: tuple[dict, ...]) -> dict:
    first = samples[0]
    times = [sample["seconds"] for sample in samples]
    return {
        "strategy": first["strategy"],
        "nodes": first["nodes"],
        "loss": f"{first['loss']:.0%}",
        "held": f"{min(sample['held'] for sample in samples):.0%}",
        "median_s": f"{statistics.median(times):.2f}",
        "worst_s": f"{max(times):.2f}",
        "messages": f"{statistics.mean(s['messages'] for s in samples):.2f}",
        "bytes": f"{statistics.mean(s['bytes'] for s in samples):.0f}",
    }
