"""What an agent derives from its view for each service."""

import attrs

from bramleystair.packets import pack_endpoint
from bramleystair.routing import find_home
from bramleystair.tables import Member, Table
from bramleystair.views import Candidate, View

# A home: server and incarnation, shared by all flow entries registered there.
Home = tuple[str, int]


@attrs.frozen(eq=False)
class Service:
    """One service as this agent sees it.

    Parameters
    ----------
    endpoint : bytes
        Protocol, address and port, as in the flow keys of the service.
    row : Member or None
        This server's row.
    is_zone_out : bool
        Whether the row's or the agent's availability zone is out of service.
    peers : tuple of str
        Other servers that may own flows: members, including those reported down,
        servers whose row was removed, and others that announce the service.
    live : frozenset of str
        The peers not reported down.
    former : frozenset of (str, int)
        Server and incarnation of members whose row was removed.
    is_complete : bool
        Whether the view holds an announcement of every member.
    diverging_until_s : float
        End of the interval in which nodes may hold different views of the service.
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
    former: frozenset[Home]
    is_complete: bool
    diverging_until_s: float

    def find_home(self, flow: bytes) -> Home | None:
        """Return the home of `flow`, or None without any candidate."""
        candidate = find_home(flow, self.candidates)
        return None if candidate is None else self.homes[candidate.server]


class Services:
    """Services in an agent's view, with the changes between views."""

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

    def update(self, view: View, now: float) -> list[Service]:
        """Take over `view` and return the services that it changes."""
        changed = []
        services = {}
        for service_id, table in view.tables_by_id.items():
            known = self._services.get(service_id)
            service = self._build(service_id, table, view, known, now)
            if known is not None and not _is_changed(known, service):
                service = attrs.evolve(
                    service, diverging_until_s=known.diverging_until_s
                )
            else:
                changed.append(service)
            services[service_id] = service
        self._services = services
        return changed

    def assume_divergence(self, now: float) -> None:
        """Assume from `now` on that other nodes may hold different views."""
        until_s = now + self._change_window_s
        self._services = {
            service_id: attrs.evolve(service, diverging_until_s=until_s)
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
        former = _list_former(table, known, view)
        peers = [m.server for m in table.members if view.is_in_service(m.zone)]
        peers += sorted(server for server, _ in former)
        # A member that has just joined does not know whose row was removed earlier.
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
            former,
            all(member.server in view.agents for member in table.members),
            now + self._change_window_s,
        )


def _list_former(table: Table, known: Service | None, view: View) -> frozenset[Home]:
    if known is None:
        return frozenset()
    present = {member.server for member in table.members}
    former = set(known.former)
    for member in known.table.members:
        if member.server in view.agents:
            former.add((member.server, view.agents[member.server].incarnation))
    return frozenset(
        (server, incarnation)
        for server, incarnation in former
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
