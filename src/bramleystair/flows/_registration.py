"""Registration of an owner's flows at their homes."""

import itertools
from collections.abc import Iterator, Mapping

import attrs

from bramleystair.flows._entries import FlowEntry
from bramleystair.flows._outbox import Outbox
from bramleystair.flows._services import Home, Service, Services
from bramleystair.flows._settings import FlowSettings
from bramleystair.wire import RedirectPut

MAX_BATCH_FLOWS = 64
# A list element takes 8 bytes for its pointer and is padded to a multiple of 8.
ELEMENT_BYTES = 8
# Envelope, names and UDP and IP headers of one message.
BATCH_BYTES = 180


@attrs.define(eq=False)
class _Batch:
    service_id: int
    home: Home
    flows: list[bytes] = attrs.field(factory=list)
    due_s: float = 0.0


class Registrar:
    """Send `RedirectPut` for flows whose home changed, until it is confirmed.

    The flows of a changed service are scanned in parts, one part per tick, and the
    messages are limited to a number of bytes per second.
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
        """Whether every flow is registered."""
        return not (self._scans or self._queue or self._sent)

    def start_scan(self, service_id: int, flows: Mapping[bytes, FlowEntry]) -> None:
        """Recompute the homes of all flows of a service from its start."""
        self._scans[service_id] = iter(list(flows))

    def enqueue(self, flow: bytes) -> None:
        """Register `flow` at its home, even if that did not change."""
        self._queue[flow] = None

    def confirm(self, sequence: int) -> None:
        """Take note that a home has stored the batch with this number."""
        self._sent.pop(sequence, None)

    def run(
        self,
        now: float,
        flows: Mapping[bytes, FlowEntry],
        services: Services,
        outbox: Outbox,
    ) -> None:
        """Continue scans, repeat unconfirmed batches and send what the budget allows.

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

    def _scan(self, flows: Mapping[bytes, FlowEntry], services: Services) -> None:
        rest = self._settings.scan_flows_per_tick
        for service_id, keys in list(self._scans.items()):
            service = services.get(service_id)
            part = list(itertools.islice(keys, rest)) if service else []
            if not part:
                del self._scans[service_id]
            for flow in part:
                self._check_home(flow, flows.get(flow), service)
            rest -= len(part)
            if rest <= 0:
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
            # It may be a repetition of a flow that another member owns.
            entry.home = None
            return
        entry.home = home
        self._queue[flow] = None

    def _requeue_unconfirmed(
        self, now: float, flows: Mapping[bytes, FlowEntry]
    ) -> None:
        for sequence, batch in list(self._sent.items()):
            if now < batch.due_s:
                # Batches are in the order of their times.
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
        self._tokens -= _compute_bytes(batch)
        put = RedirectPut(batch.service_id, tuple(batch.flows), self._server, sequence)
        outbox.send(batch.home[0], put)


def _compute_bytes(batch: _Batch) -> int:
    padded = sum((len(flow) + 7) // 8 * 8 for flow in batch.flows)
    return BATCH_BYTES + ELEMENT_BYTES * len(batch.flows) + padded
