"""Admission of requests at the agent."""

import collections

import attrs

from bramleystair.requests._settings import LedgerSettings
from bramleystair.requests._tickets import Ticket, parse_ticket
from bramleystair.views import View
from bramleystair.wire import Run, ServiceLoad


@attrs.define
class _Hold:
    service_id: int
    until_s: float


class Admission:
    """Decide whether the backend server takes another request.

    A ticket that was issued a short time ago holds a place, so that its request is
    not refused when it arrives.

    Parameters
    ----------
    server : str
        Name of the backend server.
    settings : LedgerSettings
        Limits.
    """

    def __init__(self, server: str, settings: LedgerSettings) -> None:
        self._server = server
        self._settings = settings
        self._view = View()
        self._is_draining = False
        self._running: collections.Counter[int] = collections.Counter()
        self._held: collections.Counter[int] = collections.Counter()
        self._holds: collections.OrderedDict[bytes, _Hold] = collections.OrderedDict()

    def set_view(self, view: View) -> None:
        """Use `view` from now on."""
        self._view = view

    def start_drain(self) -> None:
        """Admit no new work from now on."""
        self._is_draining = True

    def get_service(self, service_id: int) -> str:
        """Return the name of a service of the view."""
        return self._view.tables_by_id[service_id].service

    def check(self, service_id: int, deadline_s: float, now: float) -> str:
        """Return why a new request is refused; empty if it is admitted."""
        self._drop_old_holds(now)
        table = self._view.tables_by_id.get(service_id)
        member = table.get_member(self._server) if table else None
        if member is None:
            return "wrong_service"
        if self._is_zone_out(member.zone):
            return "zone_out"
        if self._is_draining:
            return "draining"
        used = self._running[service_id] + self._held[service_id]
        if used >= member.max_requests:
            return "cap"
        return ""

    def check_run(
        self, ticket: Ticket, message: Run, deadline_s: float, now: float
    ) -> str:
        """Return why the request of a valid ticket is refused."""
        if len(message.body) > self._settings.max_body_bytes:
            return "too_large"
        self._drop_old_holds(now)
        if ticket.nonce not in self._holds:
            return self.check(ticket.service_id, deadline_s, now)
        table = self._view.tables_by_id.get(ticket.service_id)
        member = table.get_member(self._server) if table else None
        if member is None:
            return "wrong_service"
        return "zone_out" if self._is_zone_out(member.zone) else ""

    def hold(self, service_id: int, data: bytes, now: float) -> None:
        """Hold a place for a new ticket."""
        nonce = parse_ticket(data).ok().nonce
        self._holds[nonce] = _Hold(service_id, now + self._settings.hold_s)
        self._held[service_id] += 1

    def drop_hold(self, ticket: Ticket) -> None:
        """Release the place held for a ticket."""
        held = self._holds.pop(ticket.nonce, None)
        if held is not None:
            self._held[held.service_id] -= 1

    def start(self, service_id: int) -> None:
        """Count a request that goes to the backend server."""
        self._running[service_id] += 1

    def finish(self, service_id: int) -> None:
        """Count a request that left the backend server."""
        self._running[service_id] -= 1

    def count_running(self) -> int:
        """Return the number of requests at the backend server."""
        return sum(self._running.values())

    def list_loads(self, now: float) -> tuple[ServiceLoad, ...]:
        """Return the present requests and limits by service."""
        loads = []
        for service_id, table in self._view.tables_by_id.items():
            member = table.get_member(self._server)
            if member is None:
                continue
            requests = self._running[service_id] + self._held[service_id]
            loads.append(ServiceLoad(service_id, 0, requests, 0, member.max_requests))
        return tuple(loads)

    def _is_zone_out(self, zone: str) -> bool:
        agent = self._view.agents.get(self._server)
        zones = {zone, agent.zone} if agent else {zone}
        return not all(self._view.is_in_service(name) for name in zones)

    def _drop_old_holds(self, now: float) -> None:
        while self._holds:
            nonce, held = next(iter(self._holds.items()))
            if held.until_s > now:
                return
            del self._holds[nonce]
            self._held[held.service_id] -= 1
