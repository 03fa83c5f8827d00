"""Clients and the platform's routers."""

import http.client
import random
import threading
import time
import zlib

from standins.packets import ACK, FIN, MODULUS, RST, SYN, decode, encode

READY_PERIOD_S = 0.5
SYN_DELAYS_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
RESET_WINDOW = 76_800
FIRST_PORT, LAST_PORT = 20_000, 60_000


class Router:
    """Hash of each flow over the balancers of the client's zone that are in rotation.

    Parameters
    ----------
    balancers : list of dict
        `name`, `zone`, `packets` and `ready` (addresses) of each balancer.
    """

    def __init__(self, balancers):
        self._balancers = balancers
        self._misses = {b["name"]: 2 for b in balancers}
        self._stopped = threading.Event()
        for balancer in balancers:
            threading.Thread(
                target=self._check_readiness, args=(balancer,), daemon=True
            ).start()

    def close(self):
        """Stop the checks."""
        self._stopped.set()

    def is_in_rotation(self, balancer):
        """Return whether a balancer answered one of its last two checks."""
        return self._misses[balancer["name"]] < 2

    def choose(self, zone, src, dst):
        """Return the balancer that gets a packet."""
        in_zone = [b for b in self._balancers if b["zone"] == zone]
        ready = [b for b in in_zone if self.is_in_rotation(b)]
        if not ready:
            ready = [b for b in self._balancers if self.is_in_rotation(b)] or in_zone
        elif 2 * len(ready) < len(in_zone):
            ready = in_zone
        flow = f"{src}{dst}"
        return max(ready, key=lambda b: zlib.crc32((b["name"] + flow).encode()))

    def _check_readiness(self, balancer):
        while not self._stopped.is_set():
            started_s = time.monotonic()
            connection = http.client.HTTPConnection(
                *balancer["ready"], timeout=READY_PERIOD_S
            )
            try:
                connection.request("GET", "/bramleystair/ready")
                is_ready = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                is_ready = False
            finally:
                connection.close()
            name = balancer["name"]
            self._misses[name] = 0 if is_ready else self._misses[name] + 1
            elapsed_s = time.monotonic() - started_s
            self._stopped.wait(max(0.0, READY_PERIOD_S - elapsed_s))


class Clients:
    """Host on which clients run, in one zone.

    Parameters
    ----------
    reactor, router, record
        As for `Server`.
    zone : str
        Zone whose balancers get the packets.
    address : tuple of str and int
        Address of the host; its port is that of all nodes' `DatagramAddr`.
    service : tuple of str and int
        Address and port of the route.
    """

    def __init__(self, reactor, router, record, zone, address, service):
        self.reactor = reactor
        self.router = router
        self.record = record
        self.zone = zone
        self.host = address[0]
        self.service = service
        self._port = FIRST_PORT
        self._flows = {}
        self._socket = reactor.open_udp(address, self._handle)

    def open_flow(self, on_event, deadline_s=3.0, port=None):
        """Open a flow, from a new port by default; only on the thread of the reactor.

        `on_event` is called with the flow and `opened`, `answer`, `reset`, `not_opened`
        or `expired`.
        """
        if port is None:
            if self._port >= LAST_PORT:
                raise RuntimeError("no port is left")
            self._port += 1
            port = self._port
        flow = ClientFlow(self, (self.host, port), on_event, deadline_s)
        self._flows[port] = flow
        flow.start()
        return flow

    def send(self, datagram, src):
        """Send a packet to the balancer that the router chooses."""
        balancer = self.router.choose(self.zone, src, self.service)
        try:
            self._socket.sendto(datagram, balancer["packets"])
        except OSError:
            return None
        return balancer["name"]

    def _handle(self, datagram, _):
        packet = decode(datagram)
        flow = None if packet is None else self._flows.get(packet.dst[1])
        if flow is not None and packet.dst[0] == self.host:
            flow.handle(packet)


class ClientFlow:
    """One flow with one request at a time."""

    def __init__(self, clients, src, on_event, deadline_s):
        self._clients = clients
        self.src = src
        self._on_event = on_event
        self._deadline_s = deadline_s
        self._first_seq = random.randrange(MODULUS)
        self._seq = (self._first_seq + 1) % MODULUS
        self._ack = 0
        self._copies = 0
        self.is_open = False
        self.has_ended = False
        self.request = None
        self.sent_s = time.monotonic()

    @property
    def name(self):
        """Name of the flow in the record."""
        service = self._clients.service
        return f"{self.src[0]}:{self.src[1]}>{service[0]}:{service[1]}"

    def start(self):
        """Send the first packet and its copies."""
        through = self._send_first_packet()
        self._clients.record("open", flow=self.name, through=through)
        for delay_s in SYN_DELAYS_S:
            self._later(delay_s, self._send_copy)
        self._later(OPEN_TIMEOUT_S, self._give_up)

    def send_request(self, request):
        """Send a request on the open flow."""
        self.request = request
        self._data = request.encode()
        self._sent_seq = self._seq
        self._seq = (self._seq + len(self._data)) % MODULUS
        self._request_sent_s = time.monotonic()
        self._clients.record("request", flow=self.name, request=request)
        self._send_data(request, 0)

    def close(self):
        """End the flow with a FIN."""
        if self.is_open and not self.has_ended:
            self._send(ACK | FIN, self._seq, self._ack)
        self.has_ended = True

    def handle(self, packet):
        """Handle a packet that was sent to this flow."""
        if self.has_ended:
            return
        if packet.flags & RST:
            self._handle_reset(packet)
        elif not packet.is_authentic or packet.src != self._clients.service:
            self._clients.record("forged", flow=self.name)
        elif packet.flags & SYN:
            if not self.is_open and packet.ack == (self._first_seq + 1) % MODULUS:
                self.is_open = True
                self._ack = (packet.seq + 1) % MODULUS
                self._send(ACK, self._seq, self._ack)
                self._report("opened")
        elif packet.data and self.is_open:
            self._handle_data(packet)
        elif packet.flags & FIN and self.is_open and packet.seq == self._ack:
            self.has_ended = True
            self._ack = (self._ack + 1) % MODULUS
            self._send(ACK | FIN, self._seq, self._ack)
            self._report("closed_by_server")

    def _handle_data(self, packet):
        if packet.seq == self._ack:
            self._ack = (packet.seq + len(packet.data)) % MODULUS
            request, self.request = self.request, None
            self._send(ACK, self._seq, self._ack)
            text = packet.data.decode()
            is_own = request is not None and text.startswith(request + " ")
            self._report("answer", request=request, answer=text, is_own=is_own)
            return
        self._send(ACK, self._seq, self._ack)

    def _handle_reset(self, packet):
        distance = (packet.seq - self._ack) % MODULUS
        distance = min(distance, MODULUS - distance)
        if self.is_open and distance > RESET_WINDOW:
            return
        self.has_ended = True
        # The system's own resets have the sum 0.
        is_own = not packet.is_authentic
        self._report("reset", was_open=self.is_open, is_of_system=is_own)

    def _send_copy(self):
        if not self.is_open and not self.has_ended:
            self._copies += 1
            self._send_first_packet()

    def _send_first_packet(self):
        return self._send(SYN, self._first_seq, self._copies)

    def _give_up(self):
        if not self.is_open and not self.has_ended:
            self.has_ended = True
            self._report("not_opened")

    def _send_data(self, request, count):
        if self.has_ended or self.request != request:
            return
        if time.monotonic() - self._request_sent_s > self._deadline_s:
            self.has_ended = True
            self._report("expired", request=request)
            return
        self._send(ACK, self._sent_seq, self._ack, self._data)
        delay_s = min(MAX_RETRANSMISSION_S, RETRANSMISSION_S * 2**count)
        self._later(delay_s, lambda: self._send_data(request, count + 1))

    def _send(self, flags, seq, ack, data=b""):
        datagram = encode(self.src, self._clients.service, flags, seq, ack, data)
        return self._clients.send(datagram, self.src)

    def _report(self, event, **fields):
        self._clients.record(event, flow=self.name, **fields)
        self._on_event(self, event)

    def _later(self, delay_s, function):
        self._clients.reactor.call_later(delay_s, function)
