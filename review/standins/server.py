"""Application server: flows over packets, heartbeats and a health check."""

import http.client
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from standins.packets import (
    ACK,
    BOUNCED,
    FIN,
    MODULUS,
    RST,
    SYN,
    decode,
    encode,
    mark_bounced,
)

CALL_TIMEOUT_S = 1.0
FIRST_HEARTBEAT_S = 0.01
RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
MAX_RETRANSMISSIONS = 8
# `idle_close_ms` of the site's services.
IDLE_CLOSE_S = 12.0


class _Flow:
    """Flow that the server holds; it is open once its handshake has ended."""

    def __init__(self, client_seq, seq):
        self.first_seq = client_seq
        self.expected = (client_seq + 1) % MODULUS
        self.first_own_seq = seq
        self.seq = (seq + 1) % MODULUS
        self.is_open = False
        self.has_ended = False
        self.last_packet_s = time.monotonic()
        self.unacknowledged = None


class Server:
    """Server on a machine of class `side`.

    Parameters
    ----------
    reactor : Reactor
        Runs the sockets and timers.
    record : callable
        Writes an event.
    options : dict
        `id`, `service`, `zone`, `slots`, `app`, `outbound`, `control` (addresses),
        `heartbeat_s`, `work_s`, `cold_s` and `born_offset_ms`, by which the machine's
        time of day is ahead at the start of the server.
    """

    def __init__(self, reactor, record, options):
        self._reactor = reactor
        self._record = record
        self._options = options
        self.id = options["id"]
        self.started_s = time.monotonic()
        self._born = int(time.time() * 1000) + options.get("born_offset_ms", 0)
        self.state = "ready"
        self.flows = {}
        self._stopped = threading.Event()
        self._wake = threading.Event()
        self._connection = None
        self._socket = reactor.open_udp(options["app"], self._handle)
        self._health = _start_health_server(self, options["app"])
        record("server_started", server=self.id, service=options["service"])
        self._thread = threading.Thread(target=self._send_heartbeats, daemon=True)
        self._thread.start()

    def close(self):
        """End the server."""
        self._stop_heartbeats()
        if self._connection is not None:
            self._connection.close()
        self._health.shutdown()
        self._health.server_close()
        self._reactor.close_udp(self._socket)
        self._record("server_ended", server=self.id)

    def is_leaving(self):
        """Return whether the health check has to fail."""
        return self.state != "ready" or self._stopped.is_set()

    def _stop_heartbeats(self):
        self._stopped.set()
        self._wake.set()
        self._thread.join(3)

    def _send_heartbeats(self):
        self._wake.wait(FIRST_HEARTBEAT_S)
        seq = 0
        while not self._stopped.is_set():
            self._wake.clear()
            sent_s = time.monotonic()
            seq += 1
            is_acknowledged = self._send_heartbeat(seq)
            self._record(
                "heartbeat",
                server=self.id,
                state=self.state,
                seq=seq,
                is_acknowledged=is_acknowledged,
            )
            elapsed_s = time.monotonic() - sent_s
            self._wake.wait(max(0.0, self._options["heartbeat_s"] - elapsed_s))

    def _send_heartbeat(self, seq):
        cold_left_s = self._options["cold_s"] - (time.monotonic() - self.started_s)
        body = {
            "Service": self._options["service"],
            "Address": "{}:{}".format(*self._options["app"]),
            "Zone": self._options["zone"],
            "Version": "v1",
            "Slots": self._options["slots"],
            "State": self.state,
            "ColdLeftMs": max(0, int(cold_left_s * 1000)),
            "Seq": seq,
            "born": self._born,
        }
        return self._call(f"/bramleystair/Instances.Heartbeat/{self.id}", body)

    def _call(self, path, body):
        """Call the agent; return whether it acknowledged within a second.

        A connection that is kept from an earlier call may have been closed meanwhile;
        the call is then repeated on a new one.
        """
        is_kept = self._connection is not None
        if not is_kept:
            self._connection = http.client.HTTPConnection(
                *self._options["control"], timeout=CALL_TIMEOUT_S
            )
        try:
            headers = {"Content-Type": "application/json"}
            self._connection.request("POST", path, json.dumps(body), headers)
            response = self._connection.getresponse()
            response.read()
            return 200 <= response.status < 300
        except (OSError, http.client.HTTPException) as error:
            self._connection.close()
            self._connection = None
            is_closed = is_kept and not isinstance(error, TimeoutError)
            return is_closed and self._call(path, body)

    def _handle(self, datagram, _):
        packet = decode(datagram)
        if packet is None or not packet.is_authentic or packet.flags & BOUNCED:
            self._record("forged", server=self.id)
            return
        key = packet.src, packet.dst
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._handle_first_packet(key, flow, packet, datagram)
        elif flow is None or not self._is_of_flow(key, flow, packet):
            self._send(mark_bounced(datagram))
        else:
            self._handle_packet(key, flow, packet)

    def _handle_first_packet(self, key, flow, packet, datagram):
        if flow is not None and flow.first_seq != packet.seq:
            if not flow.has_ended:
                self._send(mark_bounced(datagram))
                return
            flow = None
        if flow is None:
            seq = random.randrange(2**20, MODULUS)
            flow = self.flows[key] = _Flow(packet.seq, seq)
            self._record("accepted", server=self.id, flow=_format(key))
            self._reactor.call_later(IDLE_CLOSE_S, lambda: self._close_idle(key, flow))
        self._reply(key, SYN | ACK, flow.first_own_seq, flow.first_seq + 1)

    def _is_of_flow(self, key, flow, packet):
        """Return whether a packet belongs to the flow, and open the flow if so."""
        if not flow.is_open:
            if packet.ack != (flow.first_own_seq + 1) % MODULUS:
                return False
            flow.is_open = True
            self._record("opened", server=self.id, flow=_format(key))
        return True

    def _close_idle(self, key, flow):
        """End a flow that has been idle for `IDLE_CLOSE_S`."""
        if flow.has_ended or self._stopped.is_set():
            return
        left_s = flow.last_packet_s + IDLE_CLOSE_S - time.monotonic()
        if left_s > 0:
            self._reactor.call_later(left_s, lambda: self._close_idle(key, flow))
            return
        flow.has_ended = True
        self._record("closed_idle", server=self.id, flow=_format(key))
        self._reply(key, ACK | FIN, flow.seq, flow.expected)
        flow.seq = (flow.seq + 1) % MODULUS

    def _handle_packet(self, key, flow, packet):
        flow.last_packet_s = time.monotonic()
        if packet.flags & RST:
            flow.has_ended = True
            return
        if flow.unacknowledged and packet.ack == flow.seq:
            flow.unacknowledged = None
        if flow.has_ended:
            if packet.flags & FIN:
                self._reply(key, ACK, flow.seq, packet.seq + 1)
            elif packet.data:
                self._record("reset_sent", server=self.id, flow=_format(key))
                self._reply(key, RST, packet.ack, 0)
            return
        is_new = packet.seq == flow.expected
        if packet.data:
            if not is_new:
                self._reply(key, ACK, flow.seq, flow.expected)
                return
            flow.expected = (packet.seq + len(packet.data)) % MODULUS
            self._run(key, flow, packet.data)
        elif packet.flags & FIN and is_new:
            flow.has_ended = True
            flow.expected = (packet.seq + 1) % MODULUS
            self._reply(key, ACK | FIN, flow.seq, flow.expected)

    def _run(self, key, flow, request):
        text = request.decode()
        self._record("run", server=self.id, flow=_format(key), request=text)
        answer = f"{text} {self._options['service']} {self.id}".encode()

        def finish():
            seq, flow.seq = flow.seq, (flow.seq + len(answer)) % MODULUS
            flow.unacknowledged = seq, answer
            self._send_answer(key, flow, seq, 0)

        self._reactor.call_later(self._options["work_s"], finish)

    def _send_answer(self, key, flow, seq, count):
        if flow.unacknowledged is None or flow.unacknowledged[0] != seq:
            return
        if flow.has_ended or self._stopped.is_set() or count > MAX_RETRANSMISSIONS:
            return
        self._reply(key, ACK, seq, flow.expected, flow.unacknowledged[1])
        delay_s = min(MAX_RETRANSMISSION_S, RETRANSMISSION_S * 2**count)
        self._reactor.call_later(
            delay_s, lambda: self._send_answer(key, flow, seq, count + 1)
        )

    def _reply(self, key, flags, seq, ack, data=b""):
        client, service = key
        self._send(encode(service, client, flags, seq, ack, data))

    def _send(self, datagram):
        if self._stopped.is_set():
            return
        try:
            self._socket.sendto(datagram, self._options["outbound"])
        except OSError:
            # The process beside this server is not running: the packet is lost.
            return


def _format(key):
    (host, port), (service, service_port) = key
    return f"{host}:{port}>{service}:{service_port}"


def _start_health_server(server, address):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):  # noqa: N802
            self.send_response(503 if server.is_leaving() else 200)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_):
            """Suppress the log line of each request."""

    ThreadingHTTPServer.daemon_threads = True
    health = ThreadingHTTPServer(address, Handler)
    threading.Thread(target=health.serve_forever, daemon=True).start()
    return health
