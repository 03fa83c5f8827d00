"""Delivery of accepted objects to balancers without the platform."""

import contextlib
import json
import socket
from collections.abc import Iterable

import attrs

from bramleystair.store import PlatformObject
from bramleystair.wire import Objects, encode

SENDER = "operator"
BALANCER_PREFIX = "balancer/"
# One balancer is enough for propagation; more cover lost datagrams and dead nodes.
PUSH_LIMIT = 16
MAX_OBJECT_BYTES = 60_000


@attrs.frozen
class Balancer:
    """Address of a balancer's UDP port for messages."""

    node: str
    zone: str
    host: str
    port: int


def list_balancers(objects: Iterable[PlatformObject]) -> tuple[Balancer, ...]:
    """Return the announced balancers, except those that cannot be read."""
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
    """Send `item` to some balancers of each zone and return their names."""
    data = encode(SENDER, 0, Objects((item.to_stored_object(),)))
    if len(data) > MAX_OBJECT_BYTES:
        return ()
    reached = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for balancer in _choose_targets(balancers):
            with contextlib.suppress(OSError):
                sender.sendto(data, (balancer.host, balancer.port))
                reached.append(balancer.node)
    return tuple(reached)


def _choose_targets(balancers: Iterable[Balancer]) -> list[Balancer]:
    rank: dict[str, int] = {}
    ranked = []
    for balancer in balancers:
        rank[balancer.zone] = rank.get(balancer.zone, 0) + 1
        ranked.append((rank[balancer.zone], balancer))
    ranked.sort(key=lambda pair: pair[0])
    return [balancer for _, balancer in ranked[:PUSH_LIMIT]]
