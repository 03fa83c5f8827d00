"""Balancers and agents as the daemons assemble them, without sockets or threads."""

import random
from collections.abc import Callable

import attrs

from bramleystair.actions import Count, Send
from bramleystair.flows import (
    DrainRequested,
    FlowController,
    FlowSettings,
    LimitAdvised,
    MessageArrived,
    OutcomeObserved,
    Tick,
    ViewChanged,
)
from bramleystair.replay._backends import Backend
from bramleystair.replicas import (
    AgentReplica,
    BalancerReplica,
    IncarnationRaised,
    LoadsChanged,
    Peer,
    PlatformObjects,
    RenewLease,
    ReplicaSettings,
    ViewUpdated,
    WatcherRoleChanged,
)
from bramleystair.replicas import DrainRequested as ReplicaDrainRequested
from bramleystair.replicas import MessageArrived as ReplicaMessageArrived
from bramleystair.replicas import Tick as ReplicaTick
from bramleystair.requests import (
    Dispatcher,
    DispatcherSettings,
    LedgerSettings,
    LoadReported,
    RequestLedger,
)
from bramleystair.routing import Router
from bramleystair.views import View
from bramleystair.wire import (
    FlowQuery,
    FlowQueryReply,
    Forward,
    Heartbeat,
    LoadReport,
    Message,
    PlaceReply,
    RedirectDrop,
    RedirectPut,
    ServiceLoad,
    StoredObject,
)

FLOW_MESSAGES = (
    Forward,
    PlaceReply,
    RedirectPut,
    RedirectDrop,
    FlowQuery,
    FlowQueryReply,
    LoadReport,
)
REQUEST_MESSAGES = (
    "Reserve",
    "Reserved",
    "Refused",
    "Run",
    "Answer",
    "Fetch",
    "Cancel",
    "Fence",
    "Fenced",
)
MAX_HELD_EVENTS = 10_000


@attrs.frozen
class NodeFactories:
    """Constructors of the decision modules; benchmarks substitute other policies.

    Parameters
    ----------
    create_router : callable
        Return the router of a balancer.
    create_controller : callable
        Return the flow controller of an agent; takes the arguments of
        `FlowController`.
    create_dispatcher : callable
        Return the dispatcher of a balancer; takes the arguments of `Dispatcher`.
    """

    create_router: Callable = Router
    create_controller: Callable = FlowController
    create_dispatcher: Callable = Dispatcher


class Node:
    """What balancers and agents share: a name, a pause, and a host that carries out.

    Parameters
    ----------
    name, zone : str
        Name and availability zone.
    host : World
        Carries out actions and checks invariants.
    """

    def __init__(self, name: str, zone: str, host) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.is_paused = False
        self.started_s = host.carrier.now
        self.resumed_s = host.carrier.now
        self.view = View()
        self.replica: AgentReplica | BalancerReplica
        self._held: list[tuple[Callable, tuple]] = []

    @property
    def now(self) -> float:
        """Present time in seconds."""
        return self.host.carrier.now

    def call(self, function: Callable, *values: object) -> None:
        """Run `function` now, or after the pause."""
        if not self.is_paused:
            function(*values)
        elif len(self._held) < MAX_HELD_EVENTS:
            self._held.append((function, values))

    def resume(self) -> None:
        """End a pause: what arrived meanwhile is handled first."""
        self.is_paused = False
        self.resumed_s = self.now
        held, self._held = self._held, []
        for function, values in held:
            function(*values)

    def handle_replica(self, event: object) -> None:
        """Let the replica handle `event`."""
        for action in self.replica.handle(event, self.now):
            match action:
                case Send(peer, message):
                    self.host.send(self, peer, message)
                case Count():
                    self.host.count(action)
                case ViewUpdated(view):
                    self.host.check_view(self, view)
                    self.view = view
                    self.take_view(view)
                case WatcherRoleChanged(is_watcher):
                    self.host.platform.set_watch(self.name, is_watcher)
                case RenewLease(announcement):
                    self.host.renew(self, announcement)
                case IncarnationRaised(incarnation):
                    self.begin_incarnation(incarnation)

    def take_view(self, view: View) -> None:
        """Use a new view."""

    def begin_incarnation(self, incarnation: int) -> None:
        """End the old lifetime."""


class BalancerNode(Node):
    """A balancer: replica, router and dispatcher."""

    def __init__(
        self,
        name: str,
        zone: str,
        host,
        incarnation: int,
        seeds: tuple[Peer, ...],
        replica_settings: ReplicaSettings,
        dispatcher_settings: DispatcherSettings,
    ) -> None:
        super().__init__(name, zone, host)
        self.router = host.factories.create_router()
        self.dispatcher = host.factories.create_dispatcher(
            dispatcher_settings, host.create_source(name)
        )
        self.replica = BalancerReplica(
            name,
            zone,
            "region",
            incarnation,
            seeds,
            replica_settings,
            host.create_source(name + " replica"),
        )

    def take_view(self, view: View) -> None:
        """Use a new view for packets and requests."""
        self.router.set_view(view)
        self.handle_request(ViewChanged(view))

    def take_message(self, sender: str, message: Message) -> None:
        """Handle a message."""
        if type(message).__name__ in REQUEST_MESSAGES:
            self.handle_request(MessageArrived(sender, message))
            return
        if isinstance(message, Heartbeat) and message.loads:
            self.handle_request(LoadReported(sender, message.loads))
        self.handle_replica(ReplicaMessageArrived(sender, message))

    def take_objects(self, objects: tuple[StoredObject, ...]) -> None:
        """Handle objects of the platform."""
        self.handle_replica(PlatformObjects(objects))

    def tick(self) -> None:
        """Run the timers."""
        if self.is_paused:
            return
        self.handle_replica(ReplicaTick())
        self.handle_request(Tick())

    def handle_request(self, event: object) -> None:
        """Let the dispatcher handle `event`."""
        for action in self.dispatcher.handle(event, self.now):
            self.host.take_dispatcher_action(self, action)


class AgentNode(Node):
    """An agent with its backend server: replica, flow controller and ledger."""

    def __init__(
        self,
        name: str,
        zone: str,
        host,
        incarnation: int,
        services: tuple[str, ...],
        backend: Backend,
        replica_settings: ReplicaSettings,
        flow_settings: FlowSettings,
        ledger_settings: LedgerSettings,
    ) -> None:
        super().__init__(name, zone, host)
        self.backend = backend
        self.incarnation = incarnation
        self.flow_settings = flow_settings
        self.ledger_settings = ledger_settings
        self.load_factor = 1.0
        self.advised_fraction: float | None = None
        self.is_draining = False
        self.drained_s = 0.0
        self.controller = host.factories.create_controller(
            name, zone, flow_settings, host.create_source(name + " flows")
        )
        self.ledger = self._build_ledger()
        self.replica = AgentReplica(
            name,
            zone,
            incarnation,
            services,
            replica_settings,
            host.create_source(name + " replica"),
        )

    def take_view(self, view: View) -> None:
        """Use a new view for flows and requests."""
        self.handle_flow(ViewChanged(view))
        self.handle_ledger(ViewChanged(view))

    def take_message(self, sender: str, message: Message) -> None:
        """Handle a message."""
        if isinstance(message, FLOW_MESSAGES):
            self.handle_flow(MessageArrived(sender, message))
        elif type(message).__name__ in REQUEST_MESSAGES:
            self.handle_ledger(MessageArrived(sender, message))
        else:
            self.handle_replica(ReplicaMessageArrived(sender, message))

    def tick(self) -> None:
        """Run the timers."""
        if self.is_paused:
            return
        if self.advised_fraction is not None:
            self.handle_flow(LimitAdvised(self.advised_fraction))
        self.handle_flow(Tick())
        self.handle_ledger(Tick())
        self.handle_replica(LoadsChanged(self._list_loads()))
        self.handle_replica(ReplicaTick())

    def drain(self) -> None:
        """Begin to leave."""
        self.is_draining = True
        self.drained_s = self.now
        self.handle_flow(DrainRequested())
        self.handle_ledger(DrainRequested())
        self.handle_replica(ReplicaDrainRequested())

    def observe(self, latency_s: float, is_shed: bool) -> None:
        """Tell the flow controller of an outcome at the backend server."""
        self.handle_flow(OutcomeObserved(latency_s, is_shed))

    def begin_incarnation(self, incarnation: int) -> None:
        """Replace the ledger: tickets of the old lifetime are over."""
        self.incarnation = incarnation
        self.ledger = self._build_ledger()
        self.handle_ledger(ViewChanged(self.view))
        if self.is_draining:
            self.handle_ledger(DrainRequested())

    def handle_flow(self, event: object) -> None:
        """Let the flow controller handle `event`."""
        for action in self.controller.handle(event, self.now):
            self.host.take_flow_action(self, action)

    def handle_ledger(self, event: object) -> None:
        """Let the ledger handle `event`."""
        ledger = self.ledger
        for action in ledger.handle(event, self.now):
            self.host.take_ledger_action(self, ledger, action)

    def _build_ledger(self) -> RequestLedger:
        source = self.host.create_source(f"{self.name} ledger {self.incarnation}")
        return RequestLedger(self.name, self.incarnation, self.ledger_settings, source)

    def _list_loads(self) -> tuple[ServiceLoad, ...]:
        requests = {load.service_id: load for load in self.ledger.list_loads(self.now)}
        loads = []
        for load in self.controller.list_loads():
            other = requests.get(load.service_id, ServiceLoad())
            # A false report shows a share of the true loads.
            loads.append(
                ServiceLoad(
                    load.service_id,
                    int(load.flows * self.load_factor),
                    int(other.requests * self.load_factor),
                    load.flow_limit,
                    other.request_limit,
                )
            )
        return tuple(loads)


def create_source(seed: int, name: str) -> random.Random:
    """Return the source of random choices of one part."""
    return random.Random(f"{seed} {name}")
