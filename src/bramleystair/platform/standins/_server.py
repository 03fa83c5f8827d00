"""Stand-in for a backend server with heartbeats and a health check."""

import json
import random
import socket
import time
from concurrent.futures import Future
from typing import Any

import attrs

from bramleystair.http import HttpClient, HttpReply, HttpRequest, HttpServer
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.platform._heartbeats import DEREGISTER_PATH, HEARTBEAT_PATH
from bramleystair.platform._packets import ACK, FIN, RST, SYN, Codec
from bramleystair.platform.standins._oddities import (
    OWN_REPORT_ODDITIES,
    build_odd_report,
)
from bramleystair.platform.standins._packets import (
    build_packet,
    get_payload,
    mark_bounced,
)
from bramleystair.platform.standins._store import CONTROL_PATH
from bramleystair.steering import Segment
from bramleystair.timers import MonotonicClock

SERVICE_TIME_S = 0.02


@attrs.define
class _Flow:
    """Flow that the server holds, or held until it ended.

    Parameters
    ----------
    first_sequence, number : int
        Initial sequence numbers of the caller and of the server.
    responses : dict of int to bytes
        Responses by the sequence number of the request; empty while it runs.
    """

    first_sequence: int
    number: int
    responses: dict[int, bytes] = attrs.field(factory=dict)
    is_open: bool = False
    has_ended: bool = False

    def accepts(self, segment: Segment) -> bool:
        """Return whether a packet belongs to the flow, and open the flow if so."""
        is_handshake = segment.acknowledgement == self.number + 1
        self.is_open = self.is_open or is_handshake
        return self.is_open


class BackendServer:
    """Accept flows, answer requests and send heartbeats to the agent.

    `POST /control` with `odd_s` at its address makes its reports odd for that many
    seconds.

    Parameters
    ----------
    loop : EventLoop
        Event loop that drives the sockets.
    options : dict
        Name, service, zone, addresses and heartbeat interval. If the server starts
        during a run, also `cold_s`, for which it is cold, and `born_offset_ms`, by
        which the time of day is ahead at its start.
    """

    def __init__(self, loop: EventLoop, options: dict[str, Any]) -> None:
        self._loop = loop
        self._options = options
        self._identity = f"{options['name']}-{random.randrange(2**32):08x}"
        self._started_ms = int(time.time() * 1000) + options.get("born_offset_ms", 0)
        self._cold_until_s = loop.clock.now() + options.get("cold_s", 0.0)
        self._odd_until_s = float("-inf")
        self._sequence = 0
        self._codec = Codec()
        self._flows: dict[bytes, _Flow] = {}
        self._agent = tuple(options["outbound"])
        self._socket = DatagramSocket(
            loop, tuple(options["app"]), self._handle_datagram, Metrics()
        )
        self._health_server = HttpServer(loop, tuple(options["app"]), self._answer_call)
        self._control_client = HttpClient(loop, tuple(options["control"]))
        self._timers = (
            loop.timers.subscribe_every(options["heartbeat_s"], self._send_heartbeat),
            loop.timers.subscribe_once(0.01, self._send_heartbeat),
        )

    def deregister(self) -> Future:
        """Stop the heartbeats and send the shutdown report; HttpResponse or failure."""
        self._stop_heartbeats()
        path = DEREGISTER_PATH + self._identity
        body = json.dumps({"born": self._started_ms}).encode()
        return self._control_client.call("POST", path, body, timeout_s=1.0)

    def close(self) -> None:
        """Stop the heartbeats and close all sockets."""
        self._stop_heartbeats()
        self._socket.close()
        self._health_server.close()
        self._control_client.close()

    def _stop_heartbeats(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def _send_heartbeat(self, now: float) -> None:
        self._sequence += 1
        body = build_report(self._options, self._sequence, self._started_ms)
        body["ColdLeftMs"] = max(0, int((self._cold_until_s - now) * 1000))
        data = json.dumps(body).encode()
        if now < self._odd_until_s:
            oddity = random.choice(OWN_REPORT_ODDITIES)
            _, data = build_odd_report(oddity, self._identity, body, random)
        path = HEARTBEAT_PATH + self._identity
        self._control_client.call("POST", path, data, 1.0)

    def _answer_call(self, request: HttpRequest) -> HttpReply:
        if request.target == CONTROL_PATH:
            seconds = json.loads(request.body)["odd_s"]
            self._odd_until_s = self._loop.clock.now() + seconds
        return HttpReply(200)

    def _handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.decode_inbound(data)
        if segment is None:
            return
        flow = self._flows.get(segment.flow)
        if segment.is_syn:
            self._handle_first_packet(segment, flow, data)
        elif flow is None or not flow.accepts(segment):
            if segment.has_payload:
                write_event(event="returned", request=get_payload(data).decode())
            self._socket.send(mark_bounced(data), self._agent)
        elif segment.is_reset:
            del self._flows[segment.flow]
        elif flow.has_ended:
            self._answer_ended(segment, flow)
        elif segment.is_fin:
            flow.has_ended = True
            self._send(segment.flow, ACK | FIN, flow.number + 1, segment.sequence + 1)
        elif segment.has_payload:
            self._process_request(segment, flow, get_payload(data).decode())

    def _handle_first_packet(
        self, segment: Segment, flow: _Flow | None, data: bytes
    ) -> None:
        is_copy = flow is not None and flow.first_sequence == segment.sequence
        if flow is not None and not is_copy and not flow.has_ended:
            self._socket.send(mark_bounced(data), self._agent)
            return
        if not is_copy:
            flow = _Flow(segment.sequence, random.randrange(2**31))
            self._flows[segment.flow] = flow
        self._send(segment.flow, SYN | ACK, flow.number, segment.sequence + 1)

    def _answer_ended(self, segment: Segment, flow: _Flow) -> None:
        """Answer a packet of a flow that has ended here."""
        if segment.is_fin:
            self._send(segment.flow, ACK, flow.number + 2, segment.sequence + 1)
        elif segment.has_payload:
            self._send(segment.flow, RST, flow.number + 2, segment.sequence + 1)

    def _process_request(self, segment: Segment, flow: _Flow, request: str) -> None:
        known = flow.responses.get(segment.sequence)
        if known is None:
            flow.responses[segment.sequence] = b""
            write_event(event="run", request=request, server=self._identity)
            answer = f"{request} {self._options['service']}".encode()

            def finish(_: float) -> None:
                flow.responses[segment.sequence] = answer
                self._send_response(segment, flow, answer)

            self._loop.timers.subscribe_once(SERVICE_TIME_S, finish)
            return
        write_event(event="repeated", request=request)
        if known:
            self._send_response(segment, flow, known)

    def _send_response(self, segment: Segment, flow: _Flow, answer: bytes) -> None:
        if self._flows.get(segment.flow) is flow and not flow.has_ended:
            number = flow.number + 1
            self._send(segment.flow, ACK, number, segment.sequence + 1, answer)

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


def build_report(
    options: dict[str, Any], sequence: int, started_ms: int
) -> dict[str, Any]:
    """Return the report of a sound server that is not cold."""
    return {
        "Service": options["service"],
        "Address": "{}:{}".format(*options["app"]),
        "Zone": options["zone"],
        "Version": "v1",
        "Slots": 5,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": sequence,
        "born": started_ms,
    }


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
