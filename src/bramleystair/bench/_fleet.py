"""Fleets of replicas for benchmarks and tests."""

from random import Random

from bramleystair.replicas import AgentReplica, BalancerReplica, Peer, ReplicaSettings

BALANCER_PORT = 10_000
AGENT_PORT = 30_000
REGION_COUNT = 6


def build_fleet(
    balancers: int,
    agents: int,
    zones: int,
    services: tuple[str, ...],
    seed: int,
    seed_names: tuple[str, ...] = ("b0", "b1", "b2"),
) -> dict[str, AgentReplica | BalancerReplica]:
    """Return replicas by name, spread evenly over availability zones.

    Parameters
    ----------
    balancers, agents, zones : int
        Number of each. Balancers are named b0, b1, ..., agents s0, s1, ..., and
        zones z0, z1, ...
    services : tuple of str
        Services that each agent announces.
    seed : int
        Seed of the replicas' random choices.
    seed_names : tuple of str
        Balancers that the replicas use as seeds.
    """
    seeds = tuple(
        Peer(name, "127.0.0.1", BALANCER_PORT + int(name[1:])) for name in seed_names
    )
    fleet: dict[str, AgentReplica | BalancerReplica] = {}
    for index in range(balancers):
        settings = ReplicaSettings(port=BALANCER_PORT + index)
        zone = index % zones
        fleet[f"b{index}"] = BalancerReplica(
            f"b{index}",
            f"z{zone}",
            f"r{zone % REGION_COUNT}",
            1,
            seeds,
            settings,
            Random(f"{seed} b{index}"),
        )
    for index in range(agents):
        settings = ReplicaSettings(port=AGENT_PORT + index, seeds=seeds)
        fleet[f"s{index}"] = AgentReplica(
            f"s{index}",
            f"z{index % zones}",
            1,
            services,
            settings,
            Random(f"{seed} s{index}"),
        )
    return fleet


def populate_stores(fleet: dict[str, BalancerReplica], objects: tuple = ()) -> None:
    """Store `objects` and all balancers' announcements in every balancer of `fleet`."""
    first = next(iter(fleet.values()))
    for replica in fleet.values():
        first.store.put(replica.store.get(replica.local_member.key))
    for item in objects:
        first.store.put(item)
    for replica in fleet.values():
        replica.store.copy_from(first.store)
        replica.mark_announced()
