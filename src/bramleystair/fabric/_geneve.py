"""Geneve encapsulation (RFC 8926) of inner IP packets, without Ethernet headers."""

import functools
import struct

from result import Err, Ok, Result

from bramleystair.errors import StepError

HEADER_BYTES = 8
OPTION_HEADER_BYTES = 4
WORD_BYTES = 4
VERSION_SHIFT = 6
OPTION_WORDS_MASK = 0x3F
CONTROL_FLAG = 0x80
CRITICAL_FLAG = 0x40
CRITICAL_OPTION = 0x80
OPTION_LENGTH_MASK = 0x1F
ETHER_TYPE_IPV4 = 0x0800
ETHER_TYPE_IPV6 = 0x86DD
ETHER_TYPES = {4: ETHER_TYPE_IPV4, 6: ETHER_TYPE_IPV6}
_HEADER = struct.Struct("!BBHI")
_STEP = "decapsulate"


@functools.cache
def build_header(network_id: int, ether_type: int = ETHER_TYPE_IPV4) -> bytes:
    """Return the Geneve header of a data packet without options."""
    return _HEADER.pack(0, 0, ether_type, network_id << 8)


def encapsulate(packet: bytes, network_id: int) -> bytes:
    """Return the inner IP `packet` with a Geneve header prepended."""
    return build_header(network_id, ETHER_TYPES[packet[0] >> 4]) + packet


def decapsulate(
    data: bytes, network_id: int, peer: str = ""
) -> Result[bytes, StepError]:
    """Return the inner IP packet of a Geneve datagram.

    Parameters
    ----------
    data : bytes
        Payload of the outer UDP datagram.
    network_id : int
        Virtual network identifier that the datagram must have.
    peer : str
        Sender of the datagram, for the error.

    Returns
    -------
    Result of bytes or StepError
        The error covers short and malformed headers, control packets, unknown critical
        options, other virtual networks and payloads that are not IP packets.
    """
    if len(data) < HEADER_BYTES:
        return Err(StepError(_STEP, peer, "shorter than the header"))
    version_and_length, flags, ether_type, vni_field = _HEADER.unpack_from(data)
    if version_and_length >> VERSION_SHIFT:
        return Err(StepError(_STEP, peer, "unknown version"))
    if flags & CONTROL_FLAG:
        return Err(StepError(_STEP, peer, "control packet"))
    if vni_field >> 8 != network_id:
        return Err(StepError(_STEP, peer, "other virtual network"))
    end = HEADER_BYTES + (version_and_length & OPTION_WORDS_MASK) * WORD_BYTES
    reason = _check_options(data, end, flags)
    if reason:
        return Err(StepError(_STEP, peer, reason))
    packet = data[end:]
    if not packet:
        return Err(StepError(_STEP, peer, "no inner packet"))
    if ETHER_TYPES.get(packet[0] >> 4) != ether_type:
        return Err(StepError(_STEP, peer, "not an IP packet of the stated type"))
    return Ok(packet)


def _check_options(data: bytes, end: int, flags: int) -> str:
    """Return why the options are invalid, or an empty string."""
    if end > len(data):
        return "options exceed the datagram"
    position, is_critical = HEADER_BYTES, False
    while position < end:
        if position + OPTION_HEADER_BYTES > end:
            return "cut option"
        is_critical |= bool(data[position + 2] & CRITICAL_OPTION)
        words = data[position + 3] & OPTION_LENGTH_MASK
        position += OPTION_HEADER_BYTES + words * WORD_BYTES
    if position != end:
        return "options exceed their length"
    # No options are supported, so a packet with a critical one has to be dropped.
    if is_critical or flags & CRITICAL_FLAG:
        return "unknown critical option"
    return ""
