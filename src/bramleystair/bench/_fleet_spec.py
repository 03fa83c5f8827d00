"""Fleet of the planned size (design section 1), and its objects."""

from random import Random

import attrs

from bramleystair.replicas import BalancerReplica, ReplicaSettings
from bramleystair.tables import (
    AgentAnnouncement,
    AgentState,
    BalancerAnnouncement,
    ConfigObject,
    Member,
    Protocol,
    Table,
    ZoneMark,
    build_key,
    encode_object,
    replace_version,
)
from bramleystair.wire import StoredObject

MEMBERS_PER_TABLE = 4
FIRST_VERSION = 1 << 16


@attrs.frozen
class FleetSpec:
    """Sizes, rates and platform limits of a fleet, and the budget of the control plane.

    The defaults are the planned size. Budgets apply to each node.
    """

    balancers: int = 1200
    agents: int = 9100
    tables: int = 2300
    zones: int = 15
    regions: int = 6
    flows: int = 25_000_000
    flows_per_s: int = 130_000
    changes_per_day: int = 1700
    failures_per_day: int = 16
    replaced_per_day: int = 1300
    lease_renew_s: float = 120.0
    platform_reads_per_s: int = 2000
    platform_writes_per_s: int = 300
    budget_core: float = 0.015
    budget_bytes: int = 256_000_000
    budget_bytes_per_s: int = 11_000

    def scale(self, factor: float) -> "FleetSpec":
        """Return a fleet with `factor` times the tables, balancers and agents."""
        return attrs.evolve(
            self,
            balancers=max(1, round(self.balancers * factor)),
            agents=round(self.agents * factor),
            tables=round(self.tables * factor),
        )


PLANNED_FLEET = FleetSpec()
# Fractions of the planned size at which costs are measured.
SCALE_FACTORS = (0.1, 0.25, 0.5, 0.75, 1.0)


def build_table(index: int, members: int, agents: int, zones: int) -> Table:
    """Return a table whose members are consecutive agents."""
    rows = []
    for offset in range(members):
        agent = (index * members + offset) % agents
        rows.append(Member(f"s{agent}", f"z{agent % zones}", 1.0, 2000, 3))
    address = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"
    return Table(f"service-{index}", address, 443, Protocol.TCP, tuple(rows))


def build_agent_announcement(index: int, zones: int, tables: int) -> AgentAnnouncement:
    """Return the announcement of an agent that serves one service."""
    services = (f"service-{index // MEMBERS_PER_TABLE % max(1, tables)}",)
    zone = f"z{index % zones}"
    host = f"10.64.{index >> 8}.{index & 255}"
    return AgentAnnouncement(
        f"s{index}", zone, host, 7000, 1, AgentState.READY, services, FIRST_VERSION
    )


def build_balancer_announcement(
    index: int, zones: int, regions: int
) -> BalancerAnnouncement:
    """Return the announcement of a balancer."""
    zone = index % zones
    host = f"10.96.{index >> 8}.{index & 255}"
    return BalancerAnnouncement(
        f"b{index}",
        f"z{zone}",
        f"r{zone % regions}",
        host,
        7000,
        8080,
        1,
        FIRST_VERSION,
    )


def encode_stored_object(item: ConfigObject, version: int) -> StoredObject:
    """Return `item` encoded as a stored object of `version`."""
    body = encode_object(replace_version(item, version))
    return StoredObject(build_key(item), version, "", body)


def build_objects(sizes: FleetSpec) -> list[StoredObject]:
    """Return every table, zone mark and announcement of a fleet of these sizes."""
    items: list[ConfigObject] = [
        build_table(index, MEMBERS_PER_TABLE, max(1, sizes.agents), sizes.zones)
        for index in range(sizes.tables)
    ]
    items += [ZoneMark(f"z{index}", True) for index in range(sizes.zones)]
    items += [
        build_agent_announcement(index, sizes.zones, sizes.tables)
        for index in range(sizes.agents)
    ]
    items += [
        build_balancer_announcement(index, sizes.zones, sizes.regions)
        for index in range(1, sizes.balancers)
    ]
    return [encode_stored_object(item, FIRST_VERSION) for item in items]


def build_balancer_replica(sizes: FleetSpec) -> BalancerReplica:
    """Return balancer b0 with all objects of a fleet of these sizes."""
    replica = BalancerReplica("b0", "z0", "r0", 1, (), ReplicaSettings(), Random(1))
    for item in build_objects(sizes):
        replica.store.put(item)
    replica.mark_announced()
    return replica
