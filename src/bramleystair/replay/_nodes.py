"""Balancers and agents composed as in the daemons, without sockets or threads."""

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
from bramleystair.replay._backend_model import Backend
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
MAX_DEFERRED_CALLS = 10_000


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
    """Base class of balancers and agents, which can be paused.

    Parameters
    ----------
    name, zone : str
        Name and availability zone.
    host : Simulation
        Executes actions and checks invariants.
    """

    def __init__(self, name: str, zone: str, host) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.is_paused = False
        self.started_s = host.scheduler.now
        self.resumed_s = host.scheduler.now
        self.view = View()
        self.replica: AgentReplica | BalancerReplica
        self._deferred: list[tuple[Callable, tuple]] = []

    @property
    def now(self) -> float:
        """Current simulated time in seconds."""
        return self.host.scheduler.now

    def dispatch(self, function: Callable, *values: object) -> None:
        """Call `function` now, or at the end of the pause.

        Calls beyond `MAX_DEFERRED_CALLS` are dropped.
        """
        if not self.is_paused:
            function(*values)
        elif len(self._deferred) < MAX_DEFERRED_CALLS:
            self._deferred.append((function, values))

    def resume(self) -> None:
        """End the pause and run the deferred calls."""
        self.is_paused = False
        self.resumed_s = self.now
        deferred, self._deferred = self._deferred, []
        for function, values in deferred:
            function(*values)

    def handle_replica_event(self, event: object) -> None:
        """Pass `event` to the replica and execute its actions."""
        for action in self.replica.handle(event, self.now):
            match action:
                case Send(peer, message):
                    self.host.send(self, peer, message)
                case Count():
                    self.host.record_count(action)
                case ViewUpdated(view):
                    self.host.check_view(self, view)
                    self.view = view
                    self.apply_view(view)
                case WatcherRoleChanged(is_watcher):
                    self.host.platform.set_watch(self.name, is_watcher)
                case RenewLease(announcement):
                    self.host.renew_lease(self, announcement)
                case IncarnationRaised(incarnation):
                    self.start_incarnation(incarnation)

    def apply_view(self, view: View) -> None:
        """Apply a new view; overridden by subclasses."""

    def start_incarnation(self, incarnation: int) -> None:
        """Start a new incarnation; overridden by subclasses that keep state for one."""


class BalancerNode(Node):
    """Balancer with a replica, a router and a request dispatcher."""

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
            dispatcher_settings, host.create_rng(name)
        )
        self.replica = BalancerReplica(
            name,
            zone,
            "region",
            incarnation,
            seeds,
            replica_settings,
            host.create_rng(name + " replica"),
        )

    def apply_view(self, view: View) -> None:
        """Apply a new view to the router and the dispatcher."""
        self.router.set_view(view)
        self.handle_dispatcher_event(ViewChanged(view))

    def handle_message(self, sender: str, message: Message) -> None:
        """Pass a message to the module that handles its type."""
        if type(message).__name__ in REQUEST_MESSAGES:
            self.handle_dispatcher_event(MessageArrived(sender, message))
            return
        if isinstance(message, Heartbeat) and message.loads:
            self.handle_dispatcher_event(LoadReported(sender, message.loads))
        self.handle_replica_event(ReplicaMessageArrived(sender, message))

    def handle_platform_objects(self, objects: tuple[StoredObject, ...]) -> None:
        """Pass objects from the platform to the replica."""
        self.handle_replica_event(PlatformObjects(objects))

    def tick(self) -> None:
        """Run the timers of all modules, unless the node is paused."""
        if self.is_paused:
            return
        self.handle_replica_event(ReplicaTick())
        self.handle_dispatcher_event(Tick())

    def handle_dispatcher_event(self, event: object) -> None:
        """Pass `event` to the dispatcher and execute its actions."""
        for action in self.dispatcher.handle(event, self.now):
            self.host.execute_dispatcher_action(self, action)


class AgentNode(Node):
    """Agent with its backend server, replica, flow controller and request ledger."""

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
            name, zone, flow_settings, host.create_rng(name + " flows")
        )
        self.ledger = self._build_ledger()
        self.replica = AgentReplica(
            name,
            zone,
            incarnation,
            services,
            replica_settings,
            host.create_rng(name + " replica"),
        )

    def apply_view(self, view: View) -> None:
        """Apply a new view to the flow controller and the ledger."""
        self.handle_flow_event(ViewChanged(view))
        self.handle_ledger_event(ViewChanged(view))

    def handle_message(self, sender: str, message: Message) -> None:
        """Pass a message to the module that handles its type."""
        if isinstance(message, FLOW_MESSAGES):
            self.handle_flow_event(MessageArrived(sender, message))
        elif type(message).__name__ in REQUEST_MESSAGES:
            self.handle_ledger_event(MessageArrived(sender, message))
        else:
            self.handle_replica_event(ReplicaMessageArrived(sender, message))

    def tick(self) -> None:
        """Run the timers of all modules, unless the node is paused."""
        if self.is_paused:
            return
        if self.advised_fraction is not None:
            self.handle_flow_event(LimitAdvised(self.advised_fraction))
        self.handle_flow_event(Tick())
        self.handle_ledger_event(Tick())
        self.handle_replica_event(LoadsChanged(self._list_loads()))
        self.handle_replica_event(ReplicaTick())

    def drain(self) -> None:
        """Start draining."""
        self.is_draining = True
        self.drained_s = self.now
        self.handle_flow_event(DrainRequested())
        self.handle_ledger_event(DrainRequested())
        self.handle_replica_event(ReplicaDrainRequested())

    def observe(self, latency_s: float, is_shed: bool) -> None:
        """Report the outcome of a request at the backend server to the controller."""
        self.handle_flow_event(OutcomeObserved(latency_s, is_shed))

    def start_incarnation(self, incarnation: int) -> None:
        """Replace the ledger, because tickets of earlier incarnations are invalid."""
        self.incarnation = incarnation
        self.ledger = self._build_ledger()
        self.handle_ledger_event(ViewChanged(self.view))
        if self.is_draining:
            self.handle_ledger_event(DrainRequested())

    def handle_flow_event(self, event: object) -> None:
        """Pass `event` to the flow controller and execute its actions."""
        for action in self.controller.handle(event, self.now):
            self.host.execute_flow_action(self, action)

    def handle_ledger_event(self, event: object) -> None:
        """Pass `event` to the request ledger and execute its actions."""
        ledger = self.ledger
        for action in ledger.handle(event, self.now):
            self.host.execute_ledger_action(self, ledger, action)

    def _build_ledger(self) -> RequestLedger:
        rng = self.host.create_rng(f"{self.name} ledger {self.incarnation}")
        return RequestLedger(self.name, self.incarnation, self.ledger_settings, rng)

    def _list_loads(self) -> tuple[ServiceLoad, ...]:
        requests = {load.service_id: load for load in self.ledger.list_loads(self.now)}
        loads = []
        for load in self.controller.list_loads():
            other = requests.get(load.service_id, ServiceLoad())
            # The trace event "misreport" sets a factor other than 1.
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


def create_rng(seed: int, name: str) -> random.Random:
    """Return the random number generator of one component."""
    return random.Random(f"{seed} {name}")
