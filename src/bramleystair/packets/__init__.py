"""Fixed header fields of the callers' packets."""

from bramleystair.packets._headers import (
    PacketHeaders,
    get_endpoint,
    pack_endpoint,
    read_headers,
    reverse_flow,
)
from bramleystair.packets._reset import build_acknowledgement, build_reset

__all__ = [
    "PacketHeaders",
    "build_acknowledgement",
    "build_reset",
    "get_endpoint",
    "pack_endpoint",
    "read_headers",
    "reverse_flow",
]
