"""Stand-in for the network fabric between callers, balancers and agents."""

import random
import socket
import threading
import urllib.request
from collections import Counter

import attrs

from bramleystair.fabric import (
    decapsulate,
    encapsulate,
    open_udp_socket,
    parse_endpoint,
    read_flow_key,
)
from bramleystair.packets import reverse_flow
from bramleystair.settings import check_settings, option
from bramleystair.standins._control import ControlServer
from bramleystair.standins._signals import wait_for_stop_signal

MAX_DATAGRAM_BYTES = 65_535
BUFFER_BYTES = 4_194_304
POLL_S = 0.2
HEALTH_CHECK_PERIOD_S = 0.3
HEALTH_CHECK_TIMEOUT_S = 1.0


@attrs.frozen
class BalancerLink:
    """A balancer to which the fabric may send packets.

    Parameters
    ----------
    endpoint : str
        Address and port for Geneve packets.
    health : str
        URL that returns 200 while the balancer accepts packets; if empty, the balancer
        always counts as healthy.
    """

    endpoint: str = option(is_endpoint=True)
    health: str = option("")


@attrs.frozen
class FabricState:
    """Balancers and faults that apply to packets to the balancers.

    Parameters
    ----------
    balancers : tuple of BalancerLink
        Balancers; each packet goes to a random healthy one.
    loss, duplicates, reordering : float
        Probabilities per packet.
    """

    balancers: tuple[BalancerLink, ...] = option(())
    loss: float = option(0.0, minimum=0, maximum=1)
    duplicates: float = option(0.0, minimum=0, maximum=1)
    reordering: float = option(0.0, minimum=0, maximum=1)


class Fabric:
    """Relay packets between caller stand-ins, balancers and agents.

    A caller stand-in sends each inner packet as the payload of a UDP datagram. Agents'
    replies go to the source address of the flow's latest packet.

    Parameters
    ----------
    host : str
        IP address to bind.
    caller_port, agent_port : int
        UDP ports for inner packets of callers and Geneve packets of agents.
    network_id : int
        Virtual network identifier.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self, host: str, caller_port: int, agent_port: int, network_id: int, seed: int
    ) -> None:
        self.state = FabricState()
        self.counts: Counter[str] = Counter()
        self._network_id = network_id
        self._random = random.Random(seed)
        self._callers: dict[bytes, tuple] = {}
        self._healthy_balancers: tuple[tuple[str, int], ...] = ()
        self._delayed: list[bytes] = []
        self._is_open = True
        self.caller_socket = open_udp_socket(host, caller_port, BUFFER_BYTES)
        self.agent_socket = open_udp_socket(host, agent_port, BUFFER_BYTES)
        self._output = open_udp_socket(host, 0, BUFFER_BYTES)
        for udp in (self.caller_socket, self.agent_socket):
            udp.settimeout(POLL_S)
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for target, name in (
                (self._relay_to_balancers, "to-balancers"),
                (self._relay_to_callers, "to-callers"),
                (self._run_health_checks, "health"),
            )
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the threads and close the sockets."""
        self._is_open = False
        for thread in self._threads:
            thread.join()
        for udp in (self.caller_socket, self.agent_socket, self._output):
            udp.close()

    def set_state(self, state: FabricState) -> None:
        """Replace the balancers and fault probabilities."""
        self.state = state
        self._update_healthy_balancers()

    def _relay_to_balancers(self) -> None:
        while self._is_open:
            received = _receive(self.caller_socket)
            if received is None:
                continue
            packet, sender = received
            flow = read_flow_key(packet)
            if flow is None:
                self.counts["malformed"] += 1
                continue
            self._callers[flow] = sender
            self._send_with_faults(packet)

    def _send_with_faults(self, packet: bytes) -> None:
        state = self.state
        if self._random.random() < state.loss:
            self.counts["lost"] += 1
            return
        if self._random.random() < state.reordering:
            self.counts["reordered"] += 1
            self._delayed.append(packet)
            return
        self._send(packet)
        if self._random.random() < state.duplicates:
            self.counts["duplicated"] += 1
            self._send(packet)
        while self._delayed:
            self._send(self._delayed.pop())

    def _send(self, packet: bytes) -> None:
        balancers = self._healthy_balancers
        if not balancers:
            self.counts["no_balancer"] += 1
            return
        self.counts["to_balancers"] += 1
        data = encapsulate(packet, self._network_id)
        self._output.sendto(data, self._random.choice(balancers))

    def _relay_to_callers(self) -> None:
        while self._is_open:
            received = _receive(self.agent_socket)
            if received is None:
                continue
            result = decapsulate(received[0], self._network_id)
            reply = read_flow_key(result.ok()) if result.is_ok() else None
            caller = self._callers.get(reverse_flow(reply)) if reply else None
            if caller is None:
                self.counts["no_caller"] += 1
                continue
            self.counts["to_callers"] += 1
            self.caller_socket.sendto(result.ok(), caller)

    def _run_health_checks(self) -> None:
        pause = threading.Event()
        while self._is_open:
            self._update_healthy_balancers()
            pause.wait(HEALTH_CHECK_PERIOD_S)

    def _update_healthy_balancers(self) -> None:
        self._healthy_balancers = tuple(
            parse_endpoint(link.endpoint)
            for link in self.state.balancers
            if not link.health or _is_healthy(link.health)
        )


def run_fabric(
    *,
    host: str = "127.0.0.1",
    caller_port: int = 6080,
    agent_port: int = 6082,
    control_port: int = 6083,
    network_id: int = 0,
    seed: int = 1,
) -> None:
    """Run the fabric stand-in until SIGTERM.

    Parameters
    ----------
    host : str
        IP address to bind.
    caller_port : int
        UDP port for inner packets of callers.
    agent_port : int
        UDP port for Geneve packets of agents.
    control_port : int
        TCP port of the control endpoint.
    network_id : int
        Virtual network identifier.
    seed : int
        Seed of all random choices.
    """
    fabric = Fabric(host, caller_port, agent_port, network_id, seed)
    control = ControlServer(host, control_port, build_handlers(fabric))
    fabric.start()
    control.start()
    wait_for_stop_signal()
    control.close()
    fabric.close()


def build_handlers(fabric: Fabric) -> dict:
    """Return the control handlers: `GET /counts` and `PUT /state`."""

    def put_state(document: object) -> dict:
        result = check_settings(document, FabricState, "state")
        if result.is_err():
            raise ValueError("; ".join(map(str, result.err())))
        fabric.set_state(result.ok())
        return {}

    return {
        ("GET", "/counts"): lambda _: dict(fabric.counts),
        ("PUT", "/state"): put_state,
    }


def _receive(udp: socket.socket) -> tuple[bytes, tuple] | None:
    try:
        return udp.recvfrom(MAX_DATAGRAM_BYTES)
    except OSError:
        # Time-out, or ICMP port unreachable for an earlier datagram.
        return None


def _is_healthy(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=HEALTH_CHECK_TIMEOUT_S) as response:
            return response.status == 200
    except OSError:
        return False
