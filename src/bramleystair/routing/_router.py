"""Selection of the agent to which a balancer forwards a packet."""

import attrs

from bramleystair.packets import get_endpoint, pack_endpoint, read_headers
from bramleystair.routing._rendezvous import find_home
from bramleystair.tables import Table
from bramleystair.views import View

# An entry takes about 315 bytes, so the cache takes at most 40 MB in a balancer.
MAX_CACHED_ROUTES = 131_072
IPV4_WITHOUT_OPTIONS = 0x45
# No fragment offset and no "more fragments" flag; "do not fragment" may be set.
UNFRAGMENTED = frozenset((b"\x00\x00", b"\x40\x00"))


@attrs.frozen
class Route:
    """Destination agent of a packet and the fields of its `Forward` message."""

    server: str
    host: str
    port: int
    service_id: int
    table_version: int
    flow: bytes


@attrs.frozen
class RouteRefusal:
    """Reason for a missing route: `malformed`, `no_service` or `no_member`."""

    reason: str
    detail: str = ""


class Router:
    """Find the home of each packet's flow in the balancer's view, with a cache."""

    def __init__(self, max_cached_routes: int = MAX_CACHED_ROUTES) -> None:
        self._max_cached_routes = max_cached_routes
        self._view = View()
        self._tables: dict[bytes, Table] = {}
        self._routes: dict[tuple[int, bytes], Route] = {}
        self._previous_routes: dict[tuple[int, bytes], Route] = {}

    @property
    def cached_count(self) -> int:
        """Number of flows in the route cache."""
        return len(self._routes) + len(self._previous_routes)

    def set_view(self, view: View) -> None:
        """Route all later packets by `view`; the cache is cleared."""
        self._view = view
        self._routes = {}
        self._previous_routes = {}
        self._tables = {
            pack_endpoint(table.protocol, table.address, table.port): table
            for table in view.tables.values()
        }

    def route(self, packet: bytes) -> Route | RouteRefusal:
        """Return the route of an inner packet, or the reason for a missing route."""
        try:
            # Fast path: IPv4 without options is looked up by its raw address and port
            # bytes.
            key = (packet[9], packet[12:24])
            if packet[0] == IPV4_WITHOUT_OPTIONS and packet[6:8] in UNFRAGMENTED:
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
        route = self._routes.get(key) or self._previous_routes.get(key)
        if route is None:
            route = self._compute_route(flow)
        if isinstance(route, Route):
            self._cache_route(key, route)
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

    def _cache_route(self, key: tuple[int, bytes], route: Route) -> None:
        if len(self._routes) >= self._max_cached_routes // 2:
            # A lookup copies an active flow from the previous half to the current one
            # before the previous half is replaced.
            self._previous_routes = self._routes
            self._routes = {}
        self._routes[key] = route
