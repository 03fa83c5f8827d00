"""Definitions of the two deployments that traces refer to by name."""

import attrs

from bramleystair.tables import Member, Protocol, Table


@attrs.frozen
class Server:
    """A backend server with its zone, slots, and speed relative to the slowest one."""

    name: str
    zone: str
    slots: int
    speed: float


@attrs.frozen
class Deployment:
    """Zones, backend servers and service tables."""

    zones: tuple[str, ...]
    servers: tuple[Server, ...]
    tables: tuple[Table, ...]


SPEEDS = (1.0, 2.0, 4.0, 1.5, 3.0)
MAX_FLOWS = 2_000
# One request runs on each slot while the next one is in transit.
REQUESTS_PER_SLOT = 2


def build_deployment(name: str, *, max_flows: int = MAX_FLOWS) -> Deployment:
    """Return the named deployment; the weights of its members are their speeds.

    Parameters
    ----------
    name : str
        ``tres_lunas`` or ``mia_duong``.
    max_flows : int
        Maximum number of connections of each backend server.
    """
    if name == "tres_lunas":
        return _build(4, (("almanac", 7), ("sheets", 4)), 3, max_flows)
    if name == "mia_duong":
        return _build(3, (("rota", 7), ("harvest", 3)), 5, max_flows)
    raise ValueError(f"unknown deployment {name!r}; known: tres_lunas, mia_duong")


def _build(
    zone_count: int, services: tuple[tuple[str, int], ...], slots: int, max_flows: int
) -> Deployment:
    zones = tuple(f"z{number}" for number in range(zone_count))
    servers, tables = [], []
    for index, (service, count) in enumerate(services):
        rows = [
            Server(
                f"{service}-{number}",
                zones[number % zone_count],
                slots,
                SPEEDS[number % len(SPEEDS)],
            )
            for number in range(count)
        ]
        members = tuple(
            Member(
                row.name,
                row.zone,
                row.speed,
                max_flows,
                REQUESTS_PER_SLOT * row.slots,
            )
            for row in rows
        )
        address, port = f"10.0.0.{index + 1}", 443
        tables.append(Table(service, address, port, Protocol.TCP, members, 1))
        servers += rows
    return Deployment(zones, tuple(servers), tuple(tables))
