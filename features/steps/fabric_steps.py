import struct

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleystair.fabric import (
    build_datagram,
    build_flow_key,
    decapsulate,
    encapsulate,
    read_flow_key,
    read_payload,
)

NETWORK = 77
PORTS = st.integers(0, 2**16 - 1)
FLOWS = st.one_of(
    st.builds(
        build_flow_key,
        st.just(17),
        st.ip_addresses(v=version).map(str),
        PORTS,
        st.ip_addresses(v=version).map(str),
        PORTS,
    )
    for version in (4, 6)
)
DATAGRAMS = st.builds(build_datagram, FLOWS, st.binary(max_size=300))
PACKET = build_datagram(build_flow_key(17, "10.0.0.1", 1, "10.0.0.2", 2), b"text")


def build_geneve(
    first=0, flags=0, ether_type=0x0800, network=NETWORK, rest=PACKET, low=0
):
    return struct.pack("!BBHI", first, flags, ether_type, network << 8 | low) + rest


def build_option(kind, words, data_words):
    return struct.pack("!HBB", 0x0102, kind, words) + bytes(4 * data_words)


FAULTS = {
    "a truncated header": build_geneve()[:4],
    "version 1": build_geneve(first=1 << 6),
    "the control flag": build_geneve(flags=0x80),
    "another network": build_geneve(network=NETWORK + 1),
    "options beyond the end": build_geneve(first=0x3F),
    "an option too long": build_geneve(first=2, rest=build_option(1, 5, 1) + PACKET),
    "a critical option": build_geneve(first=2, rest=build_option(0x81, 1, 1) + PACKET),
    "only the critical flag": build_geneve(flags=0x40),
    "an Ethernet frame": build_geneve(ether_type=0x6558, rest=bytes(14) + PACKET),
    "no inner packet": build_geneve(rest=b""),
}


@when("generated datagrams of both IP versions are encapsulated and decapsulated")
def encapsulate_generated(context):
    context.pairs = []

    @settings(max_examples=200)
    @given(DATAGRAMS)
    def run(packet):
        result = decapsulate(encapsulate(packet, NETWORK), NETWORK)
        context.pairs.append((packet, result))

    run()


@then("each inner packet equals the original")
def check_pairs(context):
    assert {packet[0] >> 4 for packet, _ in context.pairs} == {4, 6}
    for packet, result in context.pairs:
        assert result.ok() == packet


@when("a Geneve datagram with {fault} is decapsulated")
def decapsulate_fault(context, fault):
    context.result = decapsulate(FAULTS[fault], NETWORK, "10.0.0.9:6081")


@then('it is refused as "{reason}"')
def check_reason(context, reason):
    error = context.result.unwrap_err()
    assert error.detail == reason, error
    assert (error.step, error.peer) == ("decapsulate", "10.0.0.9:6081")


@when("a datagram with non-critical options and reserved bits is decapsulated")
def decapsulate_options(context):
    options = build_option(0x01, 1, 1) + build_option(0x7F, 0, 0)
    data = build_geneve(first=3, flags=0x3F, rest=options + PACKET, low=0xFF)
    context.result = decapsulate(data, NETWORK)


@then("its inner packet is returned")
def check_returned(context):
    assert context.result.ok() == PACKET, context.result


@when("generated Geneve datagrams with changed bytes are decapsulated")
def decapsulate_changed(context):
    context.cases = []
    changes = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 255)), max_size=4)

    @settings(max_examples=1000)
    @given(DATAGRAMS, changes, st.integers(0, 400))
    def run(packet, changes, length):
        data = bytearray(encapsulate(packet, NETWORK))
        for position, value in changes:
            data[position % len(data)] = value
        data = bytes(data[:length])
        context.cases.append((data, decapsulate(data, NETWORK)))

    run()


@then("each results in an inner packet of the stated type or in an error")
def check_cases(context):
    refused = [result for _, result in context.cases if result.is_err()]
    assert 100 < len(refused) < len(context.cases) - 100
    for data, result in context.cases:
        if result.is_err():
            assert result.unwrap_err().detail
            continue
        stated = {0x0800: 4, 0x86DD: 6}[int.from_bytes(data[2:4], "big")]
        assert result.unwrap()[0] >> 4 == stated
        assert data.endswith(result.unwrap())


@when("datagrams are built from generated flows and payloads")
def build_datagrams(context):
    context.built = []

    @settings(max_examples=300)
    @given(FLOWS, st.binary(max_size=300))
    def run(flow, payload):
        context.built.append((flow, payload, build_datagram(flow, payload)))

    run()


@then("their headers, lengths and checksums are valid")
def check_built(context):
    assert len(context.built) >= 300
    for flow, payload, packet in context.built:
        assert read_flow_key(packet) == flow
        assert read_payload(packet) == payload
        size = (len(flow) - 5) // 2
        start = 20 if size == 4 else 40
        if size == 4:
            assert add_words(packet[:20]) == 0xFFFF
            assert int.from_bytes(packet[2:4], "big") == len(packet)
        udp = packet[start:]
        assert udp[6:8] != b"\0\0"
        pseudo = flow[1 : 1 + 2 * size] + struct.pack("!HH", 17, len(udp))
        assert add_words(pseudo + udp) == 0xFFFF


def add_words(data):
    """Return the ones' complement sum, computed word by word as in RFC 1071."""
    data += b"\0" * (len(data) % 2)
    total = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total > 0xFFFF:
        total = (total & 0xFFFF) + (total >> 16)
    return total
