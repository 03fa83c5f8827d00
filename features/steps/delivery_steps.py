import collections
import os
import socket
import struct
import threading

from behave import given, then, when

from bramleystair.backend import TunDelivery, UdpDelivery
from bramleystair.fabric import (
    build_datagram,
    build_flow_key,
    read_flow_key,
    read_payload,
)
from bramleystair.packets import reverse_flow
from support.tcp import (
    CALLER,
    RST,
    SERVICE,
    build_segment,
    build_segments,
    get_flags,
    has_valid_checksums,
)

WAIT_S = 20.0


class Recorder:
    """Reply handler that records all calls and lets steps wait for them."""

    def __init__(self):
        self.replies = collections.defaultdict(list)
        self.refusals = []
        self.drops = collections.Counter()
        self._changed = threading.Condition()

    def handle_reply(self, flow, packet):
        self._record(lambda: self.replies[flow].append(packet))

    def handle_refusal(self, flow):
        self._record(lambda: self.refusals.append(flow))

    def count_drop(self, reason):
        self._record(lambda: self.drops.update([reason]))

    def wait_until(self, is_met):
        with self._changed:
            assert self._changed.wait_for(is_met, WAIT_S), vars(self)

    def _record(self, change):
        with self._changed:
            change()
            self._changed.notify_all()


class EchoServer:
    """UDP server that echoes each payload, preceded by the sender's port."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.socket.settimeout(0.1)
        self.is_open = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while self.is_open:
            try:
                data, address = self.socket.recvfrom(2048)
            except TimeoutError:
                continue
            self.socket.sendto(b"%d " % address[1] + data, address)

    def close(self):
        self.is_open = False
        self.thread.join()
        self.socket.close()


def build_udp_flow(number):
    return build_flow_key(17, CALLER, 2000 + number, SERVICE, 53)


@given("a UDP backend server that answers each datagram")
def start_echo(context):
    context.server = EchoServer()
    context.add_cleanup(context.server.close)
    context.recorder = Recorder()
    context.delivery = UdpDelivery("127.0.0.1", context.server.port, context.recorder)
    context.add_cleanup(context.delivery.close)


@given("the backend server is closed")
def close_echo(context):
    context.server.close()


@when("{flows:d} flows each deliver {count:d} datagrams")
def deliver_datagrams(context, flows, count):
    context.flows = [build_udp_flow(number) for number in range(flows)]
    for index in range(count):
        for flow in context.flows:
            packet = build_datagram(flow, b"payload %d" % index)
            context.delivery.deliver(flow, packet)
            # Wait for each answer, so that the small receive queue does not overflow.
            context.recorder.wait_until(
                lambda flow=flow, index=index: (
                    len(context.recorder.replies[flow]) > index
                )
            )


@then("each flow receives its {count:d} answers from the service's address")
def check_answers(context, count):
    for flow in context.flows:
        replies = context.recorder.replies[flow]
        assert {read_flow_key(reply) for reply in replies} == {reverse_flow(flow)}
        payloads = [read_payload(reply).split(b" ", 1)[1] for reply in replies]
        assert payloads == [b"payload %d" % index for index in range(count)]


@then("each flow has used its own source port")
def check_ports(context):
    ports = {
        flow: {read_payload(reply).split()[0] for reply in replies}
        for flow, replies in context.recorder.replies.items()
    }
    assert all(len(found) == 1 for found in ports.values())
    assert len(set.union(*ports.values())) == len(context.flows)


@when("a flow delivers a datagram and waits for a refusal")
def deliver_refused(context):
    flow = build_udp_flow(1)
    context.delivery.deliver(flow, build_datagram(flow, b"payload"))
    context.recorder.wait_until(lambda: context.recorder.refusals)


@then("the refusal names the flow")
def check_refusal(context):
    assert set(context.recorder.refusals) == {build_udp_flow(1)}


@when("a flow delivers malformed packets")
def deliver_malformed(context):
    flow = build_udp_flow(1)
    whole = build_datagram(flow, b"payload")
    wrong_length = whole[:24] + struct.pack("!H", 60_000) + whole[26:]
    for packet in (b"", whole[:20], wrong_length, build_segments()[0]):
        context.delivery.deliver(flow, packet)


@then('{count:d} drops with the reason "{reason}" are counted')
@then('{count:d} drop with the reason "{reason}" is counted')
def check_drops(context, count, reason):
    assert context.recorder.drops == {reason: count}, context.recorder.drops


@given('a TUN delivery that replaces the destination by "{address}"')
def start_rewriting(context, address):
    start_tun(context, address)


@given("a TUN delivery that keeps the destination")
def start_keeping(context):
    start_tun(context, "")


def start_tun(context, rewrite_to):
    # A socket pair stands in for the TUN device.
    agent_end, tun = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
    tun.settimeout(WAIT_S)
    context.tun = tun
    context.add_cleanup(tun.close)
    context.recorder = Recorder()
    context.delivery = TunDelivery(agent_end.detach(), context.recorder, rewrite_to)
    context.add_cleanup(context.delivery.close)


@when("the segments of a TCP trace are delivered and answered")
def deliver_trace(context):
    context.received = []
    answers = build_segments(reverse=True)
    for segment, answer in zip(build_segments(), answers, strict=True):
        context.delivery.deliver(read_flow_key(segment), segment)
        received = context.tun.recv(2048)
        context.received.append(received)
        # The backend server answers from the address to which the segment was sent.
        reply = build_segment(reverse_flow(read_flow_key(received)), answer[24:])
        os.write(context.tun.fileno(), reply)
    context.flow = read_flow_key(build_segments()[0])
    context.recorder.wait_until(
        lambda: len(context.recorder.replies[context.flow]) == len(answers)
    )


@then(
    'the backend server received them with destination "{address}" and valid checksums'
)
def check_received(context, address):
    for received, sent in zip(context.received, build_segments(), strict=True):
        assert has_valid_checksums(sent)
        assert socket.inet_ntoa(received[16:20]) == address
        assert has_valid_checksums(received)
        assert received[12:16] + received[40:] == sent[12:16] + sent[40:]


@then("the backend server received the segments unchanged")
def check_unchanged(context):
    assert context.received == build_segments()


@then("the caller received the answers from the service with valid checksums")
def check_trace_answers(context):
    replies = context.recorder.replies[context.flow]
    assert replies == build_segments(reverse=True)
    assert all(has_valid_checksums(reply) for reply in replies)
    assert not context.recorder.drops


@when("the backend server sends a packet of a flow that was closed")
def send_closed(context):
    segment = build_segments()[0]
    flow = read_flow_key(segment)
    context.delivery.deliver(flow, segment)
    context.tun.recv(2048)
    context.delivery.close_flow(flow)
    os.write(context.tun.fileno(), build_segments(reverse=True)[0])
    context.recorder.wait_until(lambda: context.recorder.drops)


@when("the flow is reset at the backend server")
def reset_server(context):
    context.delivery.reset_server(context.flow, b"")


@then("the backend server receives a reset with the expected sequence number")
def check_server_reset(context):
    reset = context.tun.recv(2048)
    assert get_flags(reset) & RST
    assert has_valid_checksums(reset)
    assert read_flow_key(reset) == read_flow_key(context.received[0])
    # The acknowledgement number of the last segment from the backend server.
    expected = build_segments(reverse=True)[-1][28:32]
    assert reset[24:28] == expected
