"""Choice of the agent to which a balancer sends a packet."""

import attrs

from bramleystair.packets import get_endpoint, pack_endpoint, read_headers
from bramleystair.routing._rendezvous import find_home
from bramleystair.tables import Table
from bramleystair.views import View

# At about 315 bytes an entry, the cache takes at most 40 MB of a balancer's memory.
MAX_CACHED_ROUTES = 131_072
PLAIN_IPV4 = 0x45
# Neither a fragment offset nor more fragments; "do not fragment" may be set.
WHOLE = frozenset((b"\x00\x00", b"\x40\x00"))


@attrs.frozen
class Route:
    """Where a packet goes, and what its forward carries."""

    server: str
    host: str
    port: int
    service_id: int
    table_version: int
    flow: bytes


@attrs.frozen
class RouteRefusal:
    """Why a packet has no route: `malformed`, `no_service` or `no_member`."""

    reason: str
    detail: str = ""


class Router:
    """Find the home of each packet's flow in the balancer's view."""

    def __init__(self, max_cached_routes: int = MAX_CACHED_ROUTES) -> None:
        self._max_cached_routes = max_cached_routes
        self._view = View()
        self._tables: dict[bytes, Table] = {}
        self._routes: dict[tuple[int, bytes], Route] = {}
        self._older_routes: dict[tuple[int, bytes], Route] = {}

    @property
    def cached_count(self) -> int:
        """Number of flows in the route cache."""
        return len(self._routes) + len(self._older_routes)

    def set_view(self, view: View) -> None:
        """Use `view` for all later packets."""
        self._view = view
        self._routes = {}
        self._older_routes = {}
        self._tables = {
            pack_endpoint(table.protocol, table.address, table.port): table
            for table in view.tables.values()
        }

    def route(self, packet: bytes) -> Route | RouteRefusal:
        """Return the route of an inner packet, or the reason why it has none."""
        try:
            # Plain IPv4 is looked up by its raw address and port bytes.
            key = (packet[9], packet[12:24])
            if packet[0] == PLAIN_IPV4 and packet[6:8] in WHOLE:
                return self._routes[key]
        except (KeyError, IndexError):
            pass
        return self._find_route(packet)

    def _find_route(self, packet: bytes) -> Route | RouteRefusal:
        headers = read_headers(packet)
        if headers.is_err():
            return RouteRefusal("malformed", headers.unwrap_err().detail)
        flow = headers.unwrap().flow
        key = (flow[0], flow[1:])
        route = self._routes.get(key) or self._older_routes.get(key)
        if route is None:
            route = self._compute_route(flow)
        if isinstance(route, Route):
            self._keep_route(key, route)
        return route

    def _compute_route(self, flow: bytes) -> Route | RouteRefusal:
        table = self._tables.get(get_endpoint(flow))
        if table is None:
            return RouteRefusal("no_service")
        service_id = table.service_id
        home = find_home(flow, self._view.list_candidates(service_id))
        if home is None:
            return RouteRefusal("no_member", table.service)
        agent = self._view.agents[home.server]
        return Route(
            home.server, agent.host, agent.port, service_id, table.version, flow
        )

    def _keep_route(self, key: tuple[int, bytes], route: Route) -> None:
        if len(self._routes) >= self._max_cached_routes // 2:
            # Flows that still send move on from the older half before it is replaced.
            self._older_routes = self._routes
            self._routes = {}
        self._routes[key] = route
