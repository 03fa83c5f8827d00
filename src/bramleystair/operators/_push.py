"""Direct delivery of accepted objects to balancers."""

import contextlib
import json
import socket
from collections.abc import Iterable

import attrs

from bramleystair.store import PlatformObject
from bramleystair.wire import Objects, encode

SENDER = "operator"
BALANCER_PREFIX = "balancer/"
# One balancer is enough, as balancers replicate objects; the others cover lost
# datagrams and failed nodes.
MAX_TARGETS = 16
MAX_OBJECT_BYTES = 60_000


@attrs.frozen
class Balancer:
    """Name, zone and message address of a balancer."""

    node: str
    zone: str
    host: str
    port: int


def list_balancers(objects: Iterable[PlatformObject]) -> tuple[Balancer, ...]:
    """Return the announced balancers; malformed announcements are skipped."""
    balancers = []
    for item in objects:
        if not item.key.startswith(BALANCER_PREFIX):
            continue
        with contextlib.suppress(ValueError, KeyError, TypeError):
            body = json.loads(item.body)
            balancers.append(
                Balancer(
                    str(body["node"]),
                    str(body["zone"]),
                    body["host"],
                    int(body["port"]),
                )
            )
    return tuple(balancers)


def push_object(item: PlatformObject, balancers: Iterable[Balancer]) -> tuple[str, ...]:
    """Send `item` to balancers, spread over all zones, and return their names."""
    data = encode(SENDER, 0, Objects((item.to_stored_object(),)))
    if len(data) > MAX_OBJECT_BYTES:
        return ()
    sent_to = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for balancer in _choose_targets(balancers):
            with contextlib.suppress(OSError):
                sender.sendto(data, (balancer.host, balancer.port))
                sent_to.append(balancer.node)
    return tuple(sent_to)


def _choose_targets(balancers: Iterable[Balancer]) -> list[Balancer]:
    rank: dict[str, int] = {}
    ranked = []
    for balancer in balancers:
        rank[balancer.zone] = rank.get(balancer.zone, 0) + 1
        ranked.append((rank[balancer.zone], balancer))
    ranked.sort(key=lambda pair: pair[0])
    return [balancer for _, balancer in ranked[:MAX_TARGETS]]
