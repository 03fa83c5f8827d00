import random
import struct

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleystair.packets import build_reset, read_headers, reverse_flow

FIN, SYN, RST, ACK = 1, 2, 4, 16


@st.composite
def build_packets(draw, protocols=(6, 17)):
    protocol = draw(st.sampled_from(protocols))
    is_ipv4 = draw(st.booleans())
    size = 4 if is_ipv4 else 16
    addresses = draw(st.binary(min_size=2 * size, max_size=2 * size))
    ports = draw(st.binary(min_size=4, max_size=4))
    payload = draw(st.binary(max_size=40))
    sequence, acknowledgement = draw(st.tuples(*[st.integers(0, 2**32 - 1)] * 2))
    flags = draw(st.integers(0, 31))
    words = draw(st.integers(0, 5))
    if protocol == 17:
        segment = ports + struct.pack("!HH", 8 + len(payload), 0) + payload
    else:
        fixed = (sequence, acknowledgement, 5 + words << 4, flags, 512, 0, 0)
        options = b"\1" * 4 * words
        segment = ports + struct.pack("!IIBBHHH", *fixed) + options + payload
    if is_ipv4:
        length = 20 + 4 * words + len(segment)
        head = struct.pack(
            "!BBHHHBBH", 0x45 + words, 0, length, 7, 0x4000, 64, protocol, 0
        )
        packet = head + addresses + b"\1" * 4 * words + segment
    else:
        option = bytes((protocol, words)) + bytes(6 + 8 * words)
        length = len(option) + len(segment)
        packet = struct.pack("!IHBB", 6 << 28, length, 60, 64) + addresses
        packet += option + segment
    fields = (bytes((protocol,)) + addresses + ports, flags, sequence, acknowledgement)
    return packet, fields, len(payload)


def check_each(strategy, check):
    settings(max_examples=300)(given(strategy)(check))()


@when("generated IPv4 and IPv6 packets with options are read")
def read_generated(context):
    context.read = []
    check_each(build_packets(), lambda built: context.read.append(built))


@then("each result has the flow, flags and numbers of the packet")
def check_read(context):
    assert len(context.read) >= 300
    for packet, (flow, flags, sequence, acknowledgement), payload in context.read:
        headers = read_headers(packet).unwrap()
        assert headers.flow == flow == reverse_flow(reverse_flow(flow))
        size = (len(flow) - 5) // 2
        assert reverse_flow(flow)[1 : 1 + size] == flow[1 + size : 1 + 2 * size]
        assert reverse_flow(flow)[-4:-2] == flow[-2:]
        assert headers.has_payload == bool(payload)
        if flow[0] == 17:
            assert not (headers.is_initial_syn or headers.is_fin or headers.is_reset)
            continue
        assert headers.is_initial_syn == (flags & (SYN | ACK) == SYN)
        assert headers.is_fin == bool(flags & FIN)
        assert headers.is_reset == bool(flags & RST)
        assert headers.sequence == sequence
        assert headers.acknowledgement == (acknowledgement if flags & ACK else 0)
        length = payload + bool(flags & SYN) + bool(flags & FIN)
        assert headers.next_sequence == (sequence + length) % 2**32


@when("generated packets cut at every length and {count:d} random packets are read")
def read_truncated(context, count):
    context.truncated = []

    def truncate(built):
        packet = built[0]
        for length in range(len(packet)):
            context.truncated.append(read_headers(packet[:length]))

    check_each(build_packets(), truncate)
    source = random.Random(1)
    for _ in range(count):
        packet = bytearray(source.randbytes(source.randrange(90)))
        packet[:1] = bytes((source.choice((0x45, 0x60, 0x4F)),))
        read_headers(bytes(packet))
        build_reset(bytes(packet))


@then("every truncated packet is refused, and no packet raises an exception")
def check_truncated(context):
    assert context.truncated
    assert all(result.is_err() for result in context.truncated)


@when("a packet with {change} is read")
def read_unsupported(context, change):
    packet = bytearray(struct.pack("!BBHHHBBH", 0x45, 0, 28, 0, 0, 64, 17, 0))
    packet += bytes(8) + bytes(8)
    if change == "IPv6 fragment":
        packet = bytearray(struct.pack("!IHBB", 6 << 28, 16, 44, 64) + bytes(32 + 16))
    elif change == "more fragments":
        packet[6] = 0x20
    elif change == "fragment offset":
        packet[7] = 1
    else:
        packet[9] = 1
    context.result = read_headers(bytes(packet))


@then('it is refused with "{detail}"')
def check_refused(context, detail):
    assert context.result.unwrap_err().detail.startswith(detail)
    assert context.result.unwrap_err().step == "read packet"


def sum_words(data):
    total = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return total


@when("resets are built for generated segments")
def build_resets(context):
    context.resets = []
    check_each(
        build_packets(),
        lambda built: context.resets.append((*built, build_reset(built[0]))),
    )


@then("their checksums are valid and their numbers follow RFC 9293")
def check_resets(context):
    answered = [case for case in context.resets if case[3]]
    assert len(answered) > 50
    for _, (flow, flags, sequence, acknowledgement), payload, reset in answered:
        headers = read_headers(reset).unwrap()
        assert headers.is_reset and headers.flow == reverse_flow(flow)
        if flags & ACK:
            assert headers.sequence == acknowledgement
            assert headers.acknowledgement == 0
        else:
            length = payload + bool(flags & SYN) + bool(flags & FIN)
            assert headers.sequence == 0
            assert headers.acknowledgement == (sequence + length) % 2**32
        if reset[0] >> 4 == 4:
            assert sum_words(reset[:20]) == 0xFFFF
        segment, addresses = reset[-20:], headers.flow[1:-4]
        pseudo = addresses + struct.pack("!II", 20, 6)
        assert sum_words(pseudo + segment) == 0xFFFF


@then("no reset answers a reset or a datagram")
def check_unanswered(context):
    for _, (flow, flags, _, _), _, reset in context.resets:
        assert bool(reset) == (flow[0] == 6 and not flags & RST)
