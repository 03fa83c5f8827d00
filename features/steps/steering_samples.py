import struct

from bramleystair.steering import MemberEntry, Segment, ServerState

ENDPOINT = bytes((198, 18, 0, 1, 1, 187))
FLOW = bytes((100, 64, 0, 7)) + ENDPOINT[:4] + bytes((156, 65)) + ENDPOINT[4:]


def make_segment(
    flow=FLOW,
    first=False,
    returned=False,
    sequence=1,
    ack=0,
    size=0,
    reset=False,
    fin=False,
):
    data = flow + bytes((first, returned)) + struct.pack("!II", sequence, ack)
    has_payload = size > 0
    return Segment(flow, data, first, returned, reset, fin, has_payload, sequence, ack)


def get_member(number):
    return (f"10.0.1.{number}", 8)


def make_entry(number, zone, service="web"):
    return MemberEntry(get_member(number), zone, service, ServerState.READY, 2)
