"""Process of an agent: sockets, threads and timers around the decisions."""

import random
import threading
from collections.abc import Callable

from bramleystair.actions import Count, Send
from bramleystair.agent._actions import FlowRunner
from bramleystair.agent._requests import RequestServer
from bramleystair.backend import (
    BackendClient,
    Delivery,
    TunDelivery,
    UdpDelivery,
    open_tun,
)
from bramleystair.daemons import (
    Messenger,
    PlatformLink,
    ThreadGroup,
    create_incarnation,
    run_daemon,
)
from bramleystair.fabric import FabricSender, open_udp_socket
from bramleystair.flows import (
    DrainRequested,
    FlowController,
    MessageArrived,
    OutcomeObserved,
    Tick,
    ViewChanged,
)
from bramleystair.logs import get_logger
from bramleystair.metrics import (
    Metrics,
    MetricsServer,
    NodeStatus,
    ServiceStatus,
)
from bramleystair.replicas import (
    AgentReplica,
    IncarnationRaised,
    LoadsChanged,
    ProcessReplaced,
    RenewLease,
    ReplicaAction,
    ReplicaEvent,
    ViewUpdated,
)
from bramleystair.replicas import DrainRequested as ReplicaDrainRequested
from bramleystair.replicas import MessageArrived as ReplicaMessageArrived
from bramleystair.replicas import Tick as ReplicaTick
from bramleystair.requests import RequestLedger
from bramleystair.settings import AgentSettings
from bramleystair.timers import Clock, MonotonicClock, TimerService
from bramleystair.wire import (
    Envelope,
    FlowQuery,
    FlowQueryReply,
    Forward,
    LoadReport,
    PlaceReply,
    RedirectDrop,
    RedirectPut,
    ServiceLoad,
)

TICK_PERIOD_S = 0.1
# Messages, timers, platform calls, and the replacement of the request server.
THREADS = 8
BUFFER_BYTES = 4_194_304
STOP_POLL_S = 0.1
FLOW_MESSAGES = (
    Forward,
    PlaceReply,
    RedirectPut,
    RedirectDrop,
    FlowQuery,
    FlowQueryReply,
    LoadReport,
)

log = get_logger("agent")


class AgentDaemon:
    """Run the agent of one backend server.

    Parameters
    ----------
    settings : AgentSettings
        Options of this agent.
    clock : Clock
        Time of all decisions.
    source : random.Random
        Source of all random choices.
    tun : int, optional
        File descriptor of the TUN device, when that is the delivery.
    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        source: random.Random,
        tun: int | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._source = source
        self._lock = threading.RLock()
        self._last_forward_s = 0.0
        self._is_draining = False
        incarnation = create_incarnation()
        self.metrics = Metrics({"server": settings.server})
        self.timers = TimerService(clock)
        self.threads = ThreadGroup(self.timers, THREADS)
        self._replica = self._build_replica(incarnation)
        self._messenger = Messenger(
            settings.server,
            incarnation,
            open_udp_socket(settings.host, settings.message_port, BUFFER_BYTES),
            self._replica.resolve,
            self.metrics,
        )
        self._controller = FlowController(
            settings.server, settings.zone, settings.flows, source
        )
        self._fabric = FabricSender(
            settings.host,
            settings.fabric.reply_endpoints,
            settings.fabric.network_id,
            source,
        )
        self._runner = FlowRunner(
            self._controller,
            self._lock,
            clock,
            self._messenger.send,
            self._fabric,
            self.metrics,
        )
        self._delivery = self._build_delivery(tun)
        self._runner.delivery = self._delivery
        self._backend = BackendClient(settings.backend.host, settings.backend.http_port)
        self._requests = self._build_requests(incarnation)
        # The replica hears of changes from balancers, so only the lease is kept.
        self._platform = PlatformLink(
            settings.platform, self.metrics, lambda _: None, source
        )
        self._metrics_server = MetricsServer(
            settings.host,
            settings.metrics_port,
            self.metrics,
            self.get_health,
            self.get_status,
            self._set_gauges,
        )

    def start(self) -> None:
        """Begin to serve."""
        self._metrics_server.start()
        self._platform.start()
        self._requests.start()
        self.threads.start("messages", self._messenger.run, self._take_envelope)
        self._run_tick(self._clock.now())
        self.timers.call_every(TICK_PERIOD_S, self._run_tick)
        incarnation = self._messenger.incarnation
        log.info("%s serves, incarnation %d", self._settings.server, incarnation)

    def stop(self) -> None:
        """Announce the drain, wait for work in hand to end, then stop everything."""
        self.start_drain()
        self._wait_idle()
        self._requests.stop()
        self._messenger.stop()
        self._delivery.close()
        self._platform.close()
        self._metrics_server.close()
        self.threads.close()
        self._messenger.close()
        self._fabric.close()
        self._backend.close()
        log.info("stopped")

    def start_drain(self) -> None:
        """Accept no new work and announce it."""
        log.info("draining: no new work from now on")
        self._is_draining = True
        self._requests.start_drain()
        self._runner.handle(DrainRequested())
        self._handle_replica(ReplicaDrainRequested())

    def get_health(self) -> dict:
        """Return the state that `/healthz` publishes."""
        with self._lock:
            view = self._replica.view
            flows = self._controller.flow_count
        return {
            "ready": not self._is_draining,
            "draining": self._is_draining,
            "flows": flows,
            "versions": {
                service: table.version for service, table in view.tables.items()
            },
            "zones": {zone: mark.version for zone, mark in view.zones.items()},
        }

    def get_status(self) -> NodeStatus:
        """Return the state that `/status` publishes."""
        with self._lock:
            versions = {
                item.key: item.version for item in self._replica.store.list_objects()
            }
            names = {
                t.service_id: t.service for t in self._replica.view.tables.values()
            }
        loads = tuple(
            ServiceStatus(
                names.get(load.service_id, str(load.service_id)),
                load.flows,
                load.requests,
                load.flow_limit,
                load.request_limit,
            )
            for load in self._list_loads()
        )
        state = "draining" if self._is_draining else "ready"
        return NodeStatus(
            self._settings.server, "agent", self._settings.zone, versions, state, loads
        )

    def _build_replica(self, incarnation: int) -> AgentReplica:
        settings = self._settings
        return AgentReplica(
            settings.server,
            settings.zone,
            incarnation,
            settings.services,
            settings.versions.build_replica_settings(
                settings.host, settings.message_port, settings.seeds
            ),
            self._source,
        )

    def _build_delivery(self, tun: int | None) -> Delivery:
        backend = self._settings.backend
        if tun is not None:
            rewrite_to = "" if backend.keep_destination else backend.host
            return TunDelivery(tun, self._runner, rewrite_to)
        return UdpDelivery(backend.host, backend.flow_port, self._runner)

    def _build_requests(self, incarnation: int) -> RequestServer:
        settings = self._settings
        # Tickets must not be guessable, so their keys come from the system's source.
        ledger = RequestLedger(
            settings.server, incarnation, settings.requests, random.SystemRandom()
        )
        return RequestServer(
            settings.host,
            settings.message_port,
            ledger,
            self._backend,
            self.timers,
            self._count,
            self._observe,
        )

    def _take_envelope(self, envelope: Envelope) -> None:
        sender, message = envelope.sender, envelope.message
        if isinstance(message, FLOW_MESSAGES):
            if isinstance(message, Forward):
                self._last_forward_s = self._clock.now()
            self._runner.handle(MessageArrived(sender, message))
            return
        self._handle_replica(ReplicaMessageArrived(sender, message))

    def _run_tick(self, now: float) -> None:
        self._runner.handle(Tick())
        self._handle_replica(LoadsChanged(self._list_loads()))
        self._handle_replica(ReplicaTick())

    def _list_loads(self) -> tuple[ServiceLoad, ...]:
        requests = {load.service_id: load for load in self._requests.list_loads()}
        with self._lock:
            flows = self._controller.list_loads()
        merged = []
        for load in flows:
            other = requests.pop(load.service_id, ServiceLoad())
            merged.append(
                ServiceLoad(
                    load.service_id,
                    load.flows,
                    other.requests,
                    load.flow_limit,
                    other.request_limit,
                )
            )
        return (*merged, *requests.values())

    def _handle_replica(self, event: ReplicaEvent) -> None:
        with self._lock:
            for action in self._replica.handle(event, self._clock.now()):
                self._carry_out(action)

    def _carry_out(self, action: ReplicaAction) -> None:
        match action:
            case Send(peer, message):
                self._messenger.send(peer, message)
            case Count():
                self._count(action)
            case ViewUpdated(view):
                self._runner.handle(ViewChanged(view))
                self._requests.set_view(view)
            case RenewLease(announcement):
                self._platform.renew(announcement, self._settings.versions.lease_s)
            case IncarnationRaised(incarnation):
                self._begin_incarnation(incarnation)
            case ProcessReplaced(incarnation):
                log.error("incarnation %d has taken this name", incarnation)
                self.threads.request_stop()

    def _begin_incarnation(self, incarnation: int) -> None:
        log.warning("lease expired; incarnation %d begins", incarnation)
        self._messenger.incarnation = incarnation
        # Tickets of the old incarnation are neither issued nor run from now on.
        self._requests.start_drain()
        self.threads.start("requests", self._replace_requests, incarnation)

    def _replace_requests(self, incarnation: int) -> None:
        self._requests.stop()
        requests = self._build_requests(incarnation)
        requests.start()
        with self._lock:
            self._requests = requests
            requests.set_view(self._replica.view)
        if self._is_draining:
            requests.start_drain()

    def _wait_idle(self) -> None:
        pause = threading.Event()
        deadline_s = self._clock.now() + self._settings.drain_limit_s
        while self._clock.now() < deadline_s and not self.threads.is_stop_urgent:
            if not self._controller.flow_count and self._requests.wait_idle(0.0):
                return
            pause.wait(STOP_POLL_S)

    def _count(self, action: Count) -> None:
        self.metrics.count(action.name, action.reason, action.amount)

    def _observe(self, latency_s: float, is_shed: bool) -> None:
        self._runner.handle(OutcomeObserved(latency_s, is_shed))

    def _set_gauges(self) -> None:
        self.metrics.set_gauge("last_forward_s", self._last_forward_s)
        for load in self._list_loads():
            subject = str(load.service_id)
            self.metrics.set_gauge("flows", load.flows, subject)
            self.metrics.set_gauge("flow_limit", load.flow_limit, subject)
            self.metrics.set_gauge("requests", load.requests, subject)


def run_agent(
    settings: AgentSettings, wait: Callable[[ThreadGroup], None] | None = None
) -> int:
    """Run an agent until SIGTERM and return the exit status.

    Parameters
    ----------
    settings : AgentSettings
        Options of this agent.
    wait : callable, optional
        Waits for the stop; by default for a signal.
    """
    tun = None
    if settings.backend.delivery == "tun":
        tun = open_tun(settings.backend.tun_device)
    daemon = AgentDaemon(settings, MonotonicClock(), random.SystemRandom(), tun)
    return run_daemon(daemon, wait)
