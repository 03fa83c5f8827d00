"""Header fields of inner IP packets, and TCP segments that bramleystair sends."""

from bramleystair.packets._headers import (
    ACK,
    TCP,
    UDP,
    PacketHeaders,
    get_endpoint,
    is_before,
    pack_endpoint,
    read_headers,
    reverse_flow,
)
from bramleystair.packets._reset import build_reset, build_segment

__all__ = [
    "ACK",
    "TCP",
    "UDP",
    "PacketHeaders",
    "build_segment",
    "build_reset",
    "get_endpoint",
    "is_before",
    "pack_endpoint",
    "read_headers",
    "reverse_flow",
]
