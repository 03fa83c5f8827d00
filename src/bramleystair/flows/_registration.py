"""Registration of owned flows at their homes."""

import itertools
from collections.abc import Iterator, Mapping

import attrs

from bramleystair.flows._entries import FlowEntry
from bramleystair.flows._outbox import Outbox
from bramleystair.flows._services import Home, Service, ServiceCatalog
from bramleystair.flows._settings import FlowSettings
from bramleystair.wire import RedirectPut

MAX_BATCH_FLOWS = 64
# Pointer of a list element, whose data are padded to a multiple of 8 bytes.
ELEMENT_OVERHEAD_BYTES = 8
# Envelope, names, and UDP and IP headers of one message.
MESSAGE_OVERHEAD_BYTES = 180


@attrs.define(eq=False)
class _Batch:
    service_id: int
    home: Home
    flows: list[bytes] = attrs.field(factory=list)
    due_s: float = 0.0


class RegistrationSender:
    """Send `RedirectPut` for flows whose home changed, until the home confirms it.

    The flows of a changed service are scanned in parts, one part per tick. A token
    bucket limits the bytes sent per second.
    """

    def __init__(self, server: str, settings: FlowSettings) -> None:
        self._server = server
        self._settings = settings
        self._scans: dict[int, Iterator[bytes]] = {}
        self._queue: dict[bytes, None] = {}
        self._sent: dict[int, _Batch] = {}
        self._sequences = itertools.count(1)
        self._tokens = float(settings.register_bytes_per_s)
        self._refilled_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no scan or registration is outstanding."""
        return not (self._scans or self._queue or self._sent)

    def start_scan(self, service_id: int, flows: Mapping[bytes, FlowEntry]) -> None:
        """Start recomputing the homes of all flows of a service."""
        self._scans[service_id] = iter(list(flows))

    def enqueue(self, flow: bytes) -> None:
        """Register `flow` at its home, even if the home did not change."""
        self._queue[flow] = None

    def confirm(self, sequence: int) -> None:
        """Mark the batch with this sequence number as stored by its home."""
        self._sent.pop(sequence, None)

    def run(
        self,
        now: float,
        flows: Mapping[bytes, FlowEntry],
        services: ServiceCatalog,
        outbox: Outbox,
    ) -> None:
        """Continue scans, retransmit unconfirmed batches and send within the budget.

        Parameters
        ----------
        flows : mapping of bytes to FlowEntry
            The flows owned.
        """
        self._refill(now)
        self._scan(flows, services)
        self._requeue_unconfirmed(now, flows)
        while self._queue and self._tokens > 0:
            for batch in self._collect(flows):
                self._send(batch, now, outbox)

    def _refill(self, now: float) -> None:
        rate = self._settings.register_bytes_per_s
        elapsed = max(0.0, now - self._refilled_s)
        self._tokens = min(rate, self._tokens + elapsed * rate)
        self._refilled_s = now

    def _scan(self, flows: Mapping[bytes, FlowEntry], services: ServiceCatalog) -> None:
        remaining = self._settings.scan_flows_per_tick
        for service_id, keys in list(self._scans.items()):
            service = services.get(service_id)
            part = list(itertools.islice(keys, remaining)) if service else []
            if not part:
                del self._scans[service_id]
            for flow in part:
                self._check_home(flow, flows.get(flow), service)
            remaining -= len(part)
            if remaining <= 0:
                return

    def _check_home(
        self, flow: bytes, entry: FlowEntry | None, service: Service
    ) -> None:
        if entry is None or entry.service_id != service.service_id:
            return
        home = service.find_home(flow)
        if home == entry.home:
            return
        if not entry.is_established:
            # The flow may stem from a repeated first packet; another member may own it.
            entry.home = None
            return
        entry.home = home
        self._queue[flow] = None

    def _requeue_unconfirmed(
        self, now: float, flows: Mapping[bytes, FlowEntry]
    ) -> None:
        for sequence, batch in list(self._sent.items()):
            if now < batch.due_s:
                # Batches are ordered by their due times.
                return
            del self._sent[sequence]
            for flow in batch.flows:
                entry = flows.get(flow)
                if entry is not None and entry.home == batch.home:
                    self._queue[flow] = None

    def _collect(self, flows: Mapping[bytes, FlowEntry]) -> list[_Batch]:
        batches: dict[tuple[int, Home], _Batch] = {}
        for flow in list(itertools.islice(self._queue, MAX_BATCH_FLOWS)):
            del self._queue[flow]
            entry = flows.get(flow)
            if entry is None or entry.home is None or entry.home[0] == self._server:
                continue
            key = (entry.service_id, entry.home)
            batches.setdefault(key, _Batch(*key)).flows.append(flow)
        return list(batches.values())

    def _send(self, batch: _Batch, now: float, outbox: Outbox) -> None:
        sequence = next(self._sequences)
        batch.due_s = now + self._settings.register_retry_s
        self._sent[sequence] = batch
        self._tokens -= _compute_message_bytes(batch)
        put = RedirectPut(batch.service_id, tuple(batch.flows), self._server, sequence)
        outbox.send(batch.home[0], put)


def _compute_message_bytes(batch: _Batch) -> int:
    padded = sum((len(flow) + 7) // 8 * 8 for flow in batch.flows)
    return MESSAGE_OVERHEAD_BYTES + ELEMENT_OVERHEAD_BYTES * len(batch.flows) + padded
