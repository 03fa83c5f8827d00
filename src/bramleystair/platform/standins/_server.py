"""Stand-in for a backend server with heartbeats and a health check."""

import json
import random
import socket
import time
from concurrent.futures import Future
from typing import Any

from bramleystair.http import HttpClient, HttpReply, HttpRequest, HttpServer
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.platform._heartbeats import DEREGISTER_PATH, HEARTBEAT_PATH
from bramleystair.platform._packets import ACK, FIN, SYN, Codec
from bramleystair.platform.standins._packets import (
    build_packet,
    get_payload,
    mark_bounced,
)
from bramleystair.steering import Segment
from bramleystair.timers import MonotonicClock

SERVICE_TIME_S = 0.02


class BackendServer:
    """Accept flows, answer requests and send heartbeats to the agent.

    Parameters
    ----------
    loop : EventLoop
        Event loop that drives the sockets.
    options : dict
        Name, service, zone, addresses and heartbeat interval.
    """

    def __init__(self, loop: EventLoop, options: dict[str, Any]) -> None:
        self._loop = loop
        self._options = options
        self._identity = f"{options['name']}-{random.randrange(2**32):08x}"
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._codec = Codec()
        # By flow: the server's initial sequence number, and the responses by the
        # sequence number of the request.
        self._flows: dict[bytes, tuple[int, dict[int, bytes]]] = {}
        self._agent = tuple(options["outbound"])
        self._socket = DatagramSocket(
            loop, tuple(options["app"]), self._handle_datagram, Metrics()
        )
        self._health_server = HttpServer(
            loop, tuple(options["app"]), self._answer_health
        )
        self._control_client = HttpClient(loop, tuple(options["control"]))
        self._timers = (
            loop.timers.subscribe_every(options["heartbeat_s"], self._send_heartbeat),
            loop.timers.subscribe_once(0.01, self._send_heartbeat),
        )

    def deregister(self) -> Future:
        """Stop the heartbeats and send the shutdown report; HttpResponse or failure."""
        self._stop_heartbeats()
        path = DEREGISTER_PATH + self._identity
        return self._control_client.call("POST", path, timeout_s=1.0)

    def close(self) -> None:
        """Stop the heartbeats and close all sockets."""
        self._stop_heartbeats()
        self._socket.close()
        self._health_server.close()
        self._control_client.close()

    def _stop_heartbeats(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def _send_heartbeat(self, _: float) -> None:
        self._sequence += 1
        body = {
            "Service": self._options["service"],
            "Address": "{}:{}".format(*self._options["app"]),
            "Zone": self._options["zone"],
            "Version": "v1",
            "Slots": 5,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": self._sequence,
            "born": self._started_ms,
        }
        path = HEARTBEAT_PATH + self._identity
        self._control_client.call("POST", path, json.dumps(body).encode(), 1.0)

    def _answer_health(self, request: HttpRequest) -> HttpReply:
        return HttpReply(200)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.decode_inbound(data)
        if segment is None:
            return
        if segment.is_syn:
            number = random.randrange(2**31)
            self._flows.setdefault(segment.flow, (number, {}))
            number = self._flows[segment.flow][0]
            self._send(segment.flow, SYN | ACK, number, segment.sequence + 1)
        elif segment.flow not in self._flows:
            self._socket.send(mark_bounced(data), self._agent)
        elif segment.is_reset:
            del self._flows[segment.flow]
        elif segment.is_fin:
            number, _ = self._flows.pop(segment.flow)
            self._send(segment.flow, ACK | FIN, number + 1, segment.sequence + 1)
        elif segment.has_payload:
            self._process_request(segment, get_payload(data).decode())

    def _process_request(self, segment: Segment, request: str) -> None:
        number, responses = self._flows[segment.flow]
        known = responses.get(segment.sequence)
        if known is None:
            responses[segment.sequence] = b""
            write_event(event="run", request=request, server=self._identity)
            answer = f"{request} {self._options['service']}".encode()

            def finish(_: float) -> None:
                responses[segment.sequence] = answer
                self._send_response(segment, number, answer)

            self._loop.timers.subscribe_once(SERVICE_TIME_S, finish)
        elif known:
            self._send_response(segment, number, known)

    def _send_response(self, segment: Segment, number: int, answer: bytes) -> None:
        if segment.flow in self._flows:
            self._send(segment.flow, ACK, number + 1, segment.sequence + 1, answer)

    def _send(
        self,
        flow: bytes,
        flags: int,
        sequence: int,
        acknowledgement: int,
        payload: bytes = b"",
    ) -> None:
        caller, service = flow[:4] + flow[8:10], flow[4:8] + flow[10:]
        data = build_packet(service, caller, flags, sequence, acknowledgement, payload)
        self._socket.send(data, self._agent)


def write_event(**fields: object) -> None:
    """Print an event as a JSON line."""
    print(json.dumps({"time": time.monotonic(), **fields}), flush=True)


def run_server(options: dict[str, Any]) -> None:
    """Run a backend server until the process is killed."""
    loop = EventLoop(MonotonicClock())
    BackendServer(loop, options)
    loop.run()


def pack_endpoint(host: str, port: int) -> bytes:
    """Return the packed address and port."""
    return socket.inet_aton(host) + port.to_bytes(2, "big")
