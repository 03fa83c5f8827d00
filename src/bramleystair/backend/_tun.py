"""Delivery of whole inner packets through a Linux TUN device."""

import fcntl
import ipaddress
import os
import select
import struct
import threading

from bramleystair.backend._delivery import POLL_S, ReplyHandler
from bramleystair.fabric import compute_checksum, read_flow_key
from bramleystair.fabric._datagrams import IPV4_KEY_BYTES
from bramleystair.packets import build_reset, reverse_flow
from bramleystair.tables import Protocol

MAX_PACKET_BYTES = 65_535
TUN_DEVICE = "/dev/net/tun"
TUNSETIFF = 0x400454CA
IFF_TUN = 0x0001
IFF_NO_PACKET_INFO = 0x1000
SOURCE_START = 12
DESTINATION_START = 16
ADDRESS_BYTES = 4
CHECKSUM_STARTS = {Protocol.TCP: 16, Protocol.UDP: 6}
MAX_CHECKSUM = 0xFFFF


def open_tun(name: str) -> int:
    """Return a file descriptor of the TUN device `name`.

    Raises
    ------
    OSError
        The device is missing or may not be opened.
    """
    descriptor = os.open(TUN_DEVICE, os.O_RDWR)
    request = struct.pack("16sH22x", name.encode(), IFF_TUN | IFF_NO_PACKET_INFO)
    try:
        fcntl.ioctl(descriptor, TUNSETIFF, request)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


class TunDelivery:
    """Deliver inner IPv4 packets through a file descriptor.

    Parameters
    ----------
    descriptor : int
        TUN device, or one end of a pair of datagram sockets. It is closed by `close`.
    handler : ReplyHandler
        Receives replies.
    rewrite_to : str, optional
        Address that replaces the service's as destination, and is replaced by it in
        replies. Without it the destination is kept, and the backend server must accept
        the service's address as its own.
    """

    def __init__(
        self, descriptor: int, handler: ReplyHandler, rewrite_to: str = ""
    ) -> None:
        self._descriptor = descriptor
        self._handler = handler
        self._address = ipaddress.ip_address(rewrite_to).packed if rewrite_to else b""
        self._flows: dict[bytes, bytes] = {}
        # Their numbers are needed for a reset that the backend server accepts.
        self._last_replies: dict[bytes, bytes] = {}
        self._is_open = True
        os.set_blocking(descriptor, False)
        self._thread = threading.Thread(
            target=self._run, name="delivery-replies", daemon=True
        )
        self._thread.start()

    def deliver(self, flow: bytes, packet: bytes) -> None:
        """Write `packet`, with its destination replaced where that is set."""
        key = read_flow_key(packet)
        if key != flow or len(flow) != IPV4_KEY_BYTES:
            self._handler.count_drop("other_flow")
            return
        reply_key = self._get_reply_key(flow)
        if self._flows.setdefault(reply_key, flow) != flow:
            # Two services share the port, and the caller uses one port for both.
            self._handler.count_drop("ambiguous_flow")
            return
        if self._address:
            packet = replace_address(packet, DESTINATION_START, self._address)
        self._write(packet)

    def reset_server(self, flow: bytes, packet: bytes) -> None:
        """Write the reset `packet`, or one that answers the flow's last reply."""
        if packet:
            self.deliver(flow, packet)
            return
        reset = build_reset(self._last_replies.get(flow, b""))
        if reset:
            self._write(reset)

    def close_flow(self, flow: bytes) -> None:
        """Forget `flow`."""
        if len(flow) == IPV4_KEY_BYTES:
            self._flows.pop(self._get_reply_key(flow), None)
            self._last_replies.pop(flow, None)

    def close(self) -> None:
        """Stop the thread and close the file descriptor."""
        self._is_open = False
        self._thread.join()
        os.close(self._descriptor)

    def _get_reply_key(self, flow: bytes) -> bytes:
        reverse = reverse_flow(flow)
        if not self._address:
            return reverse
        return reverse[:1] + self._address + reverse[1 + ADDRESS_BYTES :]

    def _write(self, packet: bytes) -> None:
        try:
            os.write(self._descriptor, packet)
        except OSError:
            self._handler.count_drop("write_failed")

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)
        while self._is_open:
            if poll.poll(POLL_S * 1_000):
                self._read()

    def _read(self) -> None:
        try:
            packet = os.read(self._descriptor, MAX_PACKET_BYTES)
        except OSError:
            return
        if not packet:
            # The other end of the descriptor is closed; polling it would spin.
            self._is_open = False
            return
        key = read_flow_key(packet)
        flow = self._flows.get(key) if key is not None else None
        if flow is None:
            self._handler.count_drop("unknown_reply")
            return
        if flow[0] == Protocol.TCP:
            self._last_replies[flow] = packet
        if self._address:
            service = flow[1 + ADDRESS_BYTES : 1 + 2 * ADDRESS_BYTES]
            packet = replace_address(packet, SOURCE_START, service)
        self._handler.handle_reply(flow, packet)


def replace_address(packet: bytes, start: int, address: bytes) -> bytes:
    """Return an IPv4 packet with another address and adjusted checksums (RFC 1624).

    Parameters
    ----------
    packet : bytes
        Packet whose headers have been checked.
    start : int
        Offset of the address to replace.
    address : bytes of length 4
        Its replacement.
    """
    changed = bytearray(packet)
    old = packet[start : start + ADDRESS_BYTES]
    changed[start : start + ADDRESS_BYTES] = address
    _adjust(changed, 10, old, address)
    header_bytes = (packet[0] & 0x0F) * 4
    offset = CHECKSUM_STARTS.get(packet[9])
    if offset is None or len(packet) < header_bytes + offset + 2:
        return bytes(changed)
    position = header_bytes + offset
    is_unset = packet[9] == Protocol.UDP and not any(packet[position : position + 2])
    if not is_unset:
        _adjust(changed, position, old, address)
    return bytes(changed)


def _adjust(packet: bytearray, position: int, old: bytes, new: bytes) -> None:
    # ~checksum is the sum of the words, so replace the old words in that sum.
    inverse = bytes(byte ^ 0xFF for byte in old)
    total = MAX_CHECKSUM - int.from_bytes(packet[position : position + 2], "big")
    checksum = compute_checksum(total.to_bytes(2, "big") + inverse + new)
    packet[position : position + 2] = checksum.to_bytes(2, "big")
