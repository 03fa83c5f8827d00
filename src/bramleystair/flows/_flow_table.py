"""Table of the flows that an agent owns."""

import itertools
import math
from collections.abc import Iterator

from bramleystair.flows import _events as events
from bramleystair.flows._entries import FlowEntry
from bramleystair.flows._outbox import Outbox
from bramleystair.flows._settings import FlowSettings
from bramleystair.flows._state import (
    CALLER_FIN,
    ESTABLISHED,
    SERVER_FIN,
    SavedFlow,
)
from bramleystair.packets import (
    ACK,
    TCP,
    PacketHeaders,
    build_segment,
    is_before,
    read_headers,
    reverse_flow,
)
from bramleystair.wire import RedirectDrop

# A server may have sent up to an initial window before the caller's segment arrives.
# The sequence number of another server is that close with a probability of 1 in 65,536.
INITIAL_WINDOW_BYTES = 65_535


class FlowTable:
    """Hold flow entries and count the open ones per service.

    The entry of an ended flow is kept for `linger_s`, so that late segments reach the
    backend server and are not treated as segments of an unknown flow. An entry
    takes about 300 bytes with its key.
    """

    def __init__(self, server: str, settings: FlowSettings, outbox: Outbox) -> None:
        self._server = server
        self._settings = settings
        self._outbox = outbox
        self._counts: dict[int, int] = {}
        self._sweep_iterator: Iterator[bytes] = iter(())
        self._swept_s = 0.0
        self.entries: dict[bytes, FlowEntry] = {}

    @property
    def open_count(self) -> int:
        """Number of flows that have not ended."""
        return sum(self._counts.values())

    def list_open(self) -> tuple[bytes, ...]:
        """Return the keys of the flows that have not ended."""
        return tuple(
            flow for flow, entry in self.entries.items() if entry.ended_s is None
        )

    def count(self, service_id: int) -> int:
        """Return the number of open flows of a service."""
        return self._counts.get(service_id, 0)

    def get(self, service_id: int, flow: bytes) -> FlowEntry | None:
        """Return the entry of `flow` if it belongs to the service."""
        entry = self.entries.get(flow)
        if entry is None or entry.service_id != service_id:
            return None
        return entry

    def add(self, flow: bytes, entry: FlowEntry) -> None:
        """Add an open flow."""
        self.entries[flow] = entry
        self._counts[entry.service_id] = self.count(entry.service_id) + 1

    def remove(self, flow: bytes) -> FlowEntry:
        """Remove a flow without notifying its home."""
        entry = self.entries.pop(flow)
        if entry.ended_s is None:
            self._counts[entry.service_id] -= 1
        self._outbox.add(events.CloseFlow(flow))
        return entry

    def close(self, flow: bytes) -> None:
        """Remove a flow and tell its home to remove the redirect."""
        entry = self.remove(flow)
        if entry.home is not None and entry.home[0] != self._server:
            drop = RedirectDrop(entry.service_id, (flow,), self._server)
            self._outbox.send(entry.home[0], drop)

    def abort(self, flow: bytes, entry: FlowEntry, notify_home: bool = True) -> None:
        """Remove a flow and reset its caller and its backend server.

        The caller of a half-open flow is not reset: another member may own the flow. If
        none does, the caller repeats its first packet and the flow is placed again.

        Parameters
        ----------
        notify_home : bool
            Whether the home is told to remove its redirect.
        """
        if entry.is_established:
            self.reset_caller(flow, entry)
        self.reset_server(flow, entry)
        if notify_home:
            self.close(flow)
        else:
            self.remove(flow)

    def reset_caller(self, flow: bytes, entry: FlowEntry) -> None:
        """Reset the caller with the sequence number that it expects next."""
        packet = b""
        if flow[0] == TCP:
            number = entry.server_next or entry.caller_ack
            packet = build_segment(flow, entry.caller_next, number, ACK)
        self._outbox.add(events.ResetCaller(flow, packet))

    def reset_server(self, flow: bytes, entry: FlowEntry) -> None:
        """Reset the backend server with the sequence number that it expects next."""
        packet = b""
        if flow[0] == TCP:
            packet = build_segment(
                reverse_flow(flow), entry.server_next, entry.caller_next, ACK
            )
        self._outbox.add(events.ResetServer(flow, packet))

    def is_handshake_with_other_server(
        self, entry: FlowEntry, headers: PacketHeaders
    ) -> bool:
        """Return whether the caller completed the handshake with another server.

        This happens if the caller repeated its first packet and another member accepted
        it. The acknowledgement number then follows the other server's sequence number.
        """
        if entry.is_established or not entry.server_next or headers.is_reset:
            return False
        unacknowledged = (entry.server_next - headers.acknowledgement) % 2**32
        return unacknowledged > INITIAL_WINDOW_BYTES

    def save(self) -> tuple[SavedFlow, ...]:
        """Return the open flows."""
        return tuple(
            SavedFlow(
                entry.service_id,
                flow,
                ESTABLISHED * entry.is_established
                | CALLER_FIN * entry.has_caller_fin
                | SERVER_FIN * entry.has_server_fin,
                entry.caller_next,
                entry.caller_ack,
                entry.server_next,
            )
            for flow, entry in self.entries.items()
            if entry.ended_s is None
        )

    def restore(self, saved: SavedFlow) -> None:
        """Add a saved flow; its home and the time of its last packet are unknown."""
        entry = FlowEntry(
            saved.service_id,
            None,
            math.inf,
            bool(saved.flags & ESTABLISHED),
            bool(saved.flags & CALLER_FIN),
            bool(saved.flags & SERVER_FIN),
            caller_next=saved.caller_next,
            caller_ack=saved.caller_ack,
            server_next=saved.server_next,
        )
        self.add(saved.flow, entry)

    def record_inbound(
        self, entry: FlowEntry, headers: PacketHeaders, now: float
    ) -> None:
        """Update the flow's state from a packet of the caller."""
        entry.last_seen_s = now
        entry.unanswered = 0
        entry.repairs = 0
        if headers.protocol != TCP:
            return
        entry.caller_next = headers.next_sequence
        entry.caller_ack = headers.acknowledgement
        if headers.is_fin:
            entry.has_caller_fin = True
        if headers.is_reset or (entry.has_caller_fin and entry.has_server_fin):
            self._mark_ended(entry, now)

    def record_outbound(self, entry: FlowEntry, packet: bytes, now: float) -> None:
        """Update the flow's state from a packet of the backend server."""
        entry.last_seen_s = now
        headers = read_headers(packet).ok()
        if entry.ended_s is not None:
            return
        if headers is None or headers.protocol != TCP:
            self._record_unanswered(entry, now)
            return
        if headers.is_reset:
            self._mark_ended(entry, now)
            return
        if headers.is_fin:
            entry.has_server_fin = True
            if entry.has_caller_fin:
                self._mark_ended(entry, now)
        if not (
            entry.server_next and is_before(headers.next_sequence, entry.server_next)
        ):
            entry.server_next = headers.next_sequence
        # An empty segment is never acknowledged, so a missing answer means nothing.
        is_empty = headers.next_sequence == headers.sequence
        if is_empty:
            return
        if not entry.caller_ack or is_before(entry.caller_ack, headers.next_sequence):
            self._record_unanswered(entry, now)

    def sweep(self, now: float) -> list[tuple[bytes, FlowEntry]]:
        """Check a part of the flows, so that each is checked once per `sweep_period_s`.

        Returns
        -------
        list of (bytes, FlowEntry)
            Silent flows that have to be registered again.
        """
        elapsed = min(now - self._swept_s, self._settings.sweep_period_s)
        self._swept_s = now
        share = len(self.entries) * elapsed / self._settings.sweep_period_s
        flows = list(itertools.islice(self._sweep_iterator, math.ceil(share)))
        if len(flows) < share:
            self._sweep_iterator = iter(list(self.entries))
        silent = []
        for flow in flows:
            entry = self.entries.get(flow)
            if entry is not None and self._check_entry(flow, entry, now):
                silent.append((flow, entry))
        return silent

    def _mark_ended(self, entry: FlowEntry, now: float) -> None:
        if entry.ended_s is None:
            entry.ended_s = now
            self._counts[entry.service_id] -= 1

    def _record_unanswered(self, entry: FlowEntry, now: float) -> None:
        if not entry.unanswered:
            entry.unanswered_s = now
        entry.unanswered += 1

    def _check_entry(self, flow: bytes, entry: FlowEntry, now: float) -> bool:
        # The time of the last packet before a restart is unknown (infinite).
        entry.last_seen_s = min(entry.last_seen_s, now)
        if entry.ended_s is not None:
            if now - entry.ended_s >= self._settings.linger_s:
                self.close(flow)
            return False
        if self._is_expired(entry, now):
            reason = "idle" if entry.is_established else "half_open"
            self._outbox.count("flow_expired", reason)
            self.close(flow)
            return False
        return bool(entry.unanswered) and self._check_silence(flow, entry, now)

    def _is_expired(self, entry: FlowEntry, now: float) -> bool:
        limit_s = self._settings.half_open_idle_s
        if entry.is_established:
            limit_s = self._settings.established_idle_s
        return now - entry.last_seen_s >= limit_s

    def _check_silence(self, flow: bytes, entry: FlowEntry, now: float) -> bool:
        settings = self._settings
        is_tcp = flow[0] == TCP
        wait_s = settings.silence_s
        if not is_tcp:
            # A one-way feed is always silent, so its repairs back off exponentially.
            wait_s *= 2 ** min(entry.repairs, settings.max_silence_doublings)
        if now - entry.unanswered_s < wait_s:
            return False
        if is_tcp and entry.repairs:
            self._outbox.count("flow_reset", "silent")
            self.abort(flow, entry)
            return False
        if entry.unanswered < settings.silence_packets:
            return False
        entry.repairs += 1
        entry.unanswered = 0
        self._outbox.count("flow_repaired", "silent")
        return True
