"""Delivery of inner packets to the backend server through a Linux TUN device."""

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
SOURCE_OFFSET = 12
DESTINATION_OFFSET = 16
ADDRESS_BYTES = 4
CHECKSUM_OFFSETS = {Protocol.TCP: 16, Protocol.UDP: 6}
MAX_CHECKSUM = 0xFFFF


def open_tun(name: str) -> int:
    """Open the TUN device `name` and return its file descriptor.

    Raises
    ------
    OSError
        The device does not exist or may not be opened.
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
        TUN device, or one end of a datagram socket pair; `close` closes it.
    handler : ReplyHandler
        Handler of replies and drops.
    rewrite_to : str, optional
        Address that replaces the service's address as the destination; replies are
        translated back. If empty, the destination is kept, and the backend server has
        to accept packets to the service's address.
    """

    def __init__(
        self, descriptor: int, handler: ReplyHandler, rewrite_to: str = ""
    ) -> None:
        self._descriptor = descriptor
        self._handler = handler
        self._rewrite_address = (
            ipaddress.ip_address(rewrite_to).packed if rewrite_to else b""
        )
        self._flow_by_reply_key: dict[bytes, bytes] = {}
        # Their sequence numbers are needed to build a reset that the backend server
        # accepts.
        self._last_replies: dict[bytes, bytes] = {}
        self._is_open = True
        os.set_blocking(descriptor, False)
        self._thread = threading.Thread(
            target=self._run, name="delivery-replies", daemon=True
        )
        self._thread.start()

    def deliver(self, flow: bytes, packet: bytes) -> None:
        """Write `packet`, with the destination rewritten if that is configured."""
        key = read_flow_key(packet)
        if key != flow or len(flow) != IPV4_KEY_BYTES:
            self._handler.count_drop("other_flow")
            return
        reply_key = self._get_reply_key(flow)
        if self._flow_by_reply_key.setdefault(reply_key, flow) != flow:
            # The caller uses the same source port for two services on the same port,
            # so replies can't be told apart.
            self._handler.count_drop("ambiguous_flow")
            return
        if self._rewrite_address:
            packet = replace_address(packet, DESTINATION_OFFSET, self._rewrite_address)
        self._write(packet)

    def reset_server(self, flow: bytes, packet: bytes) -> None:
        """Write the reset `packet`, or build one from the last reply of `flow`."""
        if packet:
            self.deliver(flow, packet)
            return
        reset = build_reset(self._last_replies.get(flow, b""))
        if reset:
            self._write(reset)

    def close_flow(self, flow: bytes) -> None:
        """Remove the state of `flow`."""
        if len(flow) == IPV4_KEY_BYTES:
            self._flow_by_reply_key.pop(self._get_reply_key(flow), None)
            self._last_replies.pop(flow, None)

    def close(self) -> None:
        """Stop the thread and close the file descriptor."""
        self._is_open = False
        self._thread.join()
        os.close(self._descriptor)

    def _get_reply_key(self, flow: bytes) -> bytes:
        reverse = reverse_flow(flow)
        if not self._rewrite_address:
            return reverse
        return reverse[:1] + self._rewrite_address + reverse[1 + ADDRESS_BYTES :]

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
            # The other end is closed; without a stop, the poll loop would spin.
            self._is_open = False
            return
        key = read_flow_key(packet)
        flow = self._flow_by_reply_key.get(key) if key is not None else None
        if flow is None:
            self._handler.count_drop("unknown_reply")
            return
        if flow[0] == Protocol.TCP:
            self._last_replies[flow] = packet
        if self._rewrite_address:
            service = flow[1 + ADDRESS_BYTES : 1 + 2 * ADDRESS_BYTES]
            packet = replace_address(packet, SOURCE_OFFSET, service)
        self._handler.handle_reply(flow, packet)


def replace_address(packet: bytes, offset: int, address: bytes) -> bytes:
    """Replace an address in an IPv4 packet and update its checksums (RFC 1624).

    Parameters
    ----------
    packet : bytes
        Packet with validated headers.
    offset : int
        Offset of the address in the packet.
    address : bytes of length 4
        New address.
    """
    changed = bytearray(packet)
    old = packet[offset : offset + ADDRESS_BYTES]
    changed[offset : offset + ADDRESS_BYTES] = address
    _update_checksum(changed, 10, old, address)
    header_bytes = (packet[0] & 0x0F) * 4
    checksum_offset = CHECKSUM_OFFSETS.get(packet[9])
    if checksum_offset is None or len(packet) < header_bytes + checksum_offset + 2:
        return bytes(changed)
    position = header_bytes + checksum_offset
    has_no_checksum = packet[9] == Protocol.UDP and not any(
        packet[position : position + 2]
    )
    if not has_no_checksum:
        _update_checksum(changed, position, old, address)
    return bytes(changed)


def _update_checksum(packet: bytearray, position: int, old: bytes, new: bytes) -> None:
    # The complement of the checksum is the sum of all words, in which the old words are
    # replaced by the new ones.
    inverse = bytes(byte ^ 0xFF for byte in old)
    total = MAX_CHECKSUM - int.from_bytes(packet[position : position + 2], "big")
    checksum = compute_checksum(total.to_bytes(2, "big") + inverse + new)
    packet[position : position + 2] = checksum.to_bytes(2, "big")
