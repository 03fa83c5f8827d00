"""Loopback networks for concurrent test runs on one machine."""

import os
import socket

from bramleystair.logs import get_logger

log = get_logger("networks")

FIRST_SUBNET, SUBNETS = 10, 200
GUARD_PORT = 8160


def reserve_network() -> tuple[socket.socket, str]:
    """Return a network that no other run uses, and the socket that reserves it.

    The network is the first two bytes of its addresses, as text. It is reserved until
    the socket is closed. The first candidate depends on the process, so that concurrent
    runs rarely meet.

    Raises
    ------
    RuntimeError
        If other runs have reserved all networks.
    """
    for number in range(SUBNETS):
        subnet = FIRST_SUBNET + (os.getpid() + number) % SUBNETS
        network = f"127.{subnet}"
        try:
            guard = socket.create_server((f"{network}.1.1", GUARD_PORT))
        except OSError as error:
            log.debug("network %s is reserved by another run: %s", network, error)
            continue
        return guard, network
    raise RuntimeError("no network is free for the run")
