"""Per-service state that an agent derives from its view."""

import attrs

from bramleystair.packets import pack_endpoint
from bramleystair.routing import find_home
from bramleystair.tables import Member, Table
from bramleystair.views import Candidate, View

# Server and incarnation of a home; one tuple is shared by all flow entries registered
# there.
Home = tuple[str, int]


@attrs.frozen(eq=False)
class Service:
    """State of one service in the view of this agent.

    Parameters
    ----------
    endpoint : bytes
        Protocol, address and port, as in the flow keys of the service.
    row : Member or None
        Row of this server in the service's table.
    is_zone_out : bool
        Whether the row's or the agent's availability zone is out of service.
    peers : tuple of str
        Other servers that may own flows: members, including those reported down,
        servers whose row was removed, and servers that announce the service.
    live : frozenset of str
        Peers that are not reported down.
    removed_members : frozenset of (str, int)
        Server and incarnation of members whose row was removed.
    is_complete : bool
        Whether the view holds an announcement of every member.
    change_window_end_s : float
        Time until which other nodes may still hold an earlier or later view of the
        service.
    """

    service_id: int
    table: Table
    endpoint: bytes
    row: Member | None
    is_zone_out: bool
    candidates: tuple[Candidate, ...]
    homes: dict[str, Home]
    peers: tuple[str, ...]
    live: frozenset[str]
    removed_members: frozenset[Home]
    is_complete: bool
    change_window_end_s: float

    def find_home(self, flow: bytes) -> Home | None:
        """Return the home of `flow`, or None without any candidate."""
        candidate = find_home(flow, self.candidates)
        return None if candidate is None else self.homes[candidate.server]


class ServiceCatalog:
    """Derive the services from each view and detect which of them changed."""

    def __init__(self, server: str, zone: str, change_window_s: float) -> None:
        self._server = server
        self._zone = zone
        self._change_window_s = change_window_s
        self._services: dict[int, Service] = {}

    def get(self, service_id: int) -> Service | None:
        """Return the service, or None when the view has no table for it."""
        return self._services.get(service_id)

    def list_member_services(self) -> list[Service]:
        """Return the services that this server is a member of."""
        return [service for service in self._services.values() if service.row]

    def apply_view(self, view: View, now: float) -> list[Service]:
        """Replace the view by `view` and return the services that it changes."""
        changed = []
        services = {}
        for service_id, table in view.tables_by_id.items():
            known = self._services.get(service_id)
            service = self._build(service_id, table, view, known, now)
            if known is not None and not _is_changed(known, service):
                service = attrs.evolve(
                    service, change_window_end_s=known.change_window_end_s
                )
            else:
                changed.append(service)
            services[service_id] = service
        self._services = services
        return changed

    def restart_change_windows(self, now: float) -> None:
        """Start the change window of every service, as if its view had just changed."""
        until_s = now + self._change_window_s
        self._services = {
            service_id: attrs.evolve(service, change_window_end_s=until_s)
            for service_id, service in self._services.items()
        }

    def _build(
        self,
        service_id: int,
        table: Table,
        view: View,
        known: Service | None,
        now: float,
    ) -> Service:
        row = table.get_member(self._server)
        candidates = view.list_candidates(service_id)
        removed_members = _list_removed_members(table, known, view)
        peers = [m.server for m in table.members if view.is_in_service(m.zone)]
        peers += sorted(server for server, _ in removed_members)
        # A member that has just joined has not seen the rows that were removed before.
        peers += sorted(
            agent.server
            for agent in view.agents.values()
            if table.service in agent.services
        )
        peers = tuple(
            server
            for server in dict.fromkeys(peers)
            if server != self._server
            and server in view.agents
            and view.is_in_service(view.agents[server].zone)
        )
        return Service(
            service_id,
            table,
            pack_endpoint(table.protocol, table.address, table.port),
            row,
            not view.is_in_service(self._zone)
            or (row is not None and not view.is_in_service(row.zone)),
            candidates,
            {c.server: (c.server, c.incarnation) for c in candidates},
            peers,
            frozenset(server for server in peers if view.is_live(server)),
            removed_members,
            all(member.server in view.agents for member in table.members),
            now + self._change_window_s,
        )


def _list_removed_members(
    table: Table, known: Service | None, view: View
) -> frozenset[Home]:
    if known is None:
        return frozenset()
    present = {member.server for member in table.members}
    removed_members = set(known.removed_members)
    for member in known.table.members:
        if member.server in view.agents:
            removed_members.add((member.server, view.agents[member.server].incarnation))
    return frozenset(
        (server, incarnation)
        for server, incarnation in removed_members
        if server not in present
        and server in view.agents
        and view.agents[server].incarnation == incarnation
    )


def _is_changed(known: Service, service: Service) -> bool:
    return (
        known.table != service.table
        or known.candidates != service.candidates
        or known.peers != service.peers
        or known.live != service.live
        or known.is_zone_out != service.is_zone_out
    )
