"""State that the components of an agent's flow controller share."""

import attrs

from bramleystair.flows._admission import Admission
from bramleystair.flows._cold_start import ColdStart
from bramleystair.flows._entries import PendingFlow
from bramleystair.flows._flow_table import FlowTable
from bramleystair.flows._outbox import Outbox
from bramleystair.flows._redirects import RedirectTable
from bramleystair.flows._registration import RegistrationSender
from bramleystair.flows._services import Service, ServiceCatalog
from bramleystair.flows._settings import FlowSettings


@attrs.define(eq=False)
class FlowContext:
    """Flows, redirects, services and timing state of one agent.

    Parameters
    ----------
    server : str
        Name of the backend server.
    pending : dict of bytes to PendingFlow
        Flows whose owner is being looked up or chosen, by flow key.
    now : float
        Time of the current event in seconds.
    down : frozenset of str
        Servers reported down.
    membership_complete_from_s : float or None
        Time from which the view is assumed to hold all members, one change window
        after the first view; None before that view.
    """

    server: str
    settings: FlowSettings
    services: ServiceCatalog
    cold_start: ColdStart
    admission: Admission
    outbox: Outbox
    flows: FlowTable
    redirects: RedirectTable
    registration_sender: RegistrationSender
    pending: dict[bytes, PendingFlow] = attrs.field(factory=dict)
    now: float = 0.0
    down: frozenset[str] = frozenset()
    membership_complete_from_s: float | None = None

    def check_admission(self, service: Service) -> str:
        """Return the reason for refusing a new flow, or an empty string."""
        flows = self.flows.count(service.service_id)
        return self.admission.check(service.row, service.is_zone_out, flows, self.now)

    def compute_limit(self, service: Service) -> int:
        """Return the current flow limit of a service on this server."""
        if self.admission.is_draining or service.is_zone_out:
            return 0
        return self.cold_start.compute_limit(service.row.max_flows, self.now)


class FlowComponent:
    """Base class of the components of the flow controller.

    Parameters
    ----------
    context : FlowContext
        State shared with the other components.
    """

    def __init__(self, context: FlowContext) -> None:
        self._context = context
        self._server = context.server
        self._settings = context.settings
        self._services = context.services
        self._admission = context.admission
        self._outbox = context.outbox
        self._flows = context.flows
        self._redirects = context.redirects
        self._registration_sender = context.registration_sender
        self._pending = context.pending
