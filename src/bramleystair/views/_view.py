"""Immutable view of tables, announcements and liveness."""

import functools
from collections.abc import Mapping

import attrs

from bramleystair.tables import (
    AgentAnnouncement,
    AgentState,
    BalancerAnnouncement,
    Member,
    Table,
    ZoneMark,
)


@attrs.frozen
class Candidate:
    """A member that may be the home of flows."""

    server: str
    weight: float
    zone: str
    incarnation: int


@attrs.frozen(slots=False, eq=False)
class View:
    """Configuration objects and liveness reports held by one node.

    Parameters
    ----------
    tables : mapping of str to Table
        Tables by service.
    zones : mapping of str to ZoneMark
        Zone marks by availability zone; a zone without a mark is in service.
    agents : mapping of str to AgentAnnouncement
        Announcements of agents by backend server.
    nodes : mapping of str to BalancerAnnouncement
        Announcements of balancers by name.
    down : frozenset of (str, int)
        Backend servers reported down, each with the incarnation of the report.
    generation : int
        Number that the node increments on each change; comparable only within one
        process.
    """

    tables: Mapping[str, Table] = attrs.field(factory=dict)
    zones: Mapping[str, ZoneMark] = attrs.field(factory=dict)
    agents: Mapping[str, AgentAnnouncement] = attrs.field(factory=dict)
    nodes: Mapping[str, BalancerAnnouncement] = attrs.field(factory=dict)
    down: frozenset[tuple[str, int]] = frozenset()
    generation: int = 0

    @functools.cached_property
    def tables_by_id(self) -> dict[int, Table]:
        """Tables by service number."""
        return {table.service_id: table for table in self.tables.values()}

    @functools.cached_property
    def tables_by_endpoint(self) -> dict[tuple[str, int, int], Table]:
        """Tables by address, port and IP protocol number."""
        return {
            (table.address, table.port, int(table.protocol)): table
            for table in self.tables.values()
        }

    @functools.cached_property
    def _candidates(self) -> dict[int, tuple[Candidate, ...]]:
        return {}

    def is_in_service(self, zone: str) -> bool:
        """Return whether the availability zone `zone` is in service."""
        mark = self.zones.get(zone)
        return mark is None or mark.is_in_service

    def is_live(self, server: str) -> bool:
        """Return whether `server` is announced and not reported down."""
        agent = self.agents.get(server)
        return agent is not None and (server, agent.incarnation) not in self.down

    def list_reachable_members(self, service_id: int) -> tuple[Member, ...]:
        """Return the live members of a service whose zone is in service.

        Draining members and those of weight 0 are included: they may own flows.
        """
        table = self.tables_by_id.get(service_id)
        if table is None:
            return ()
        return tuple(
            member
            for member in table.members
            if self.is_live(member.server) and self._is_zone_in_service(member)
        )

    def list_candidates(self, service_id: int) -> tuple[Candidate, ...]:
        """Return the members of a service that may be the home of flows."""
        known = self._candidates.get(service_id)
        if known is None:
            known = self._build_candidates(service_id)
            self._candidates[service_id] = known
        return known

    def _is_zone_in_service(self, member: Member) -> bool:
        # The table row may name a zone other than the one in which the agent runs.
        announced = self.agents[member.server].zone
        return self.is_in_service(member.zone) and self.is_in_service(announced)

    def _build_candidates(self, service_id: int) -> tuple[Candidate, ...]:
        candidates = []
        for member in self.list_reachable_members(service_id):
            agent = self.agents[member.server]
            if member.weight <= 0 or agent.state is AgentState.DRAINING:
                continue
            candidates.append(
                Candidate(member.server, member.weight, member.zone, agent.incarnation)
            )
        return tuple(candidates)
