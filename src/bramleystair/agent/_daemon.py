"""Agent process: sockets, threads and timers around the replica, flows and requests."""

import random
import threading
from collections.abc import Callable

from bramleystair.actions import Count, Send
from bramleystair.agent._actions import FlowActionExecutor
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
# Loops for messages and timers, the replacement of the request server, and spare
# threads.
MAX_THREADS = 8
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
        Settings of this agent.
    clock : Clock
        Clock of the replica, the flow controller and the timers.
    source : random.Random
        Random number generator of all components except tickets.
    tun : int, optional
        File descriptor of the TUN device, if packets are delivered through one.
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
        self.threads = ThreadGroup(self.timers, MAX_THREADS)
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
        self._executor = FlowActionExecutor(
            self._controller,
            self._lock,
            clock,
            self._messenger.send,
            self._fabric,
            self.metrics,
        )
        self._delivery = self._build_delivery(tun)
        self._executor.delivery = self._delivery
        self._backend = BackendClient(settings.backend.host, settings.backend.http_port)
        self._request_server = self._build_request_server(incarnation)
        # The replica gets changes from balancers, so the platform is only used to renew
        # the lease.
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
        """Start all servers, threads and timers."""
        self._metrics_server.start()
        self._platform.start()
        self._request_server.start()
        self.threads.start("messages", self._messenger.run, self._handle_envelope)
        self._run_tick(self._clock.now())
        self.timers.call_every(TICK_PERIOD_S, self._run_tick)
        incarnation = self._messenger.incarnation
        log.info("started for %s, incarnation %d", self._settings.server, incarnation)

    def stop(self) -> None:
        """Drain, wait for flows and requests to end, then stop all threads."""
        self.start_drain()
        self._wait_idle()
        self._request_server.stop()
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
        """Stop accepting flows and requests, and announce it to the balancers."""
        log.info("draining: new flows and requests are refused")
        self._is_draining = True
        self._request_server.start_drain()
        self._executor.handle(DrainRequested())
        self._handle_replica_event(ReplicaDrainRequested())

    def get_health(self) -> dict:
        """Return the state that `/healthz` reports."""
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
        """Return the state that `/status` reports."""
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
            return TunDelivery(tun, self._executor, rewrite_to)
        return UdpDelivery(backend.host, backend.flow_port, self._executor)

    def _build_request_server(self, incarnation: int) -> RequestServer:
        settings = self._settings
        # Tickets must be unpredictable, so their keys come from the system's generator.
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

    def _handle_envelope(self, envelope: Envelope) -> None:
        sender, message = envelope.sender, envelope.message
        if isinstance(message, FLOW_MESSAGES):
            if isinstance(message, Forward):
                self._last_forward_s = self._clock.now()
            self._executor.handle(MessageArrived(sender, message))
            return
        self._handle_replica_event(ReplicaMessageArrived(sender, message))

    def _run_tick(self, now: float) -> None:
        self._executor.handle(Tick())
        self._handle_replica_event(LoadsChanged(self._list_loads()))
        self._handle_replica_event(ReplicaTick())

    def _list_loads(self) -> tuple[ServiceLoad, ...]:
        requests = {load.service_id: load for load in self._request_server.list_loads()}
        with self._lock:
            flows = self._controller.list_loads()
        merged = []
        for load in flows:
            request_load = requests.pop(load.service_id, ServiceLoad())
            merged.append(
                ServiceLoad(
                    load.service_id,
                    load.flows,
                    request_load.requests,
                    load.flow_limit,
                    request_load.request_limit,
                )
            )
        return (*merged, *requests.values())

    def _handle_replica_event(self, event: ReplicaEvent) -> None:
        with self._lock:
            for action in self._replica.handle(event, self._clock.now()):
                self._execute(action)

    def _execute(self, action: ReplicaAction) -> None:
        match action:
            case Send(peer, message):
                self._messenger.send(peer, message)
            case Count():
                self._count(action)
            case ViewUpdated(view):
                self._executor.handle(ViewChanged(view))
                self._request_server.set_view(view)
            case RenewLease(announcement):
                self._platform.renew(announcement, self._settings.versions.lease_s)
            case IncarnationRaised(incarnation):
                self._start_incarnation(incarnation)
            case ProcessReplaced(incarnation):
                log.error(
                    "another process, incarnation %d, uses this server name; stopping",
                    incarnation,
                )
                self.threads.request_stop()

    def _start_incarnation(self, incarnation: int) -> None:
        log.warning("lease expired; continuing as incarnation %d", incarnation)
        self._messenger.incarnation = incarnation
        # Tickets of the old incarnation must no longer be issued or run.
        self._request_server.start_drain()
        self.threads.start("requests", self._replace_request_server, incarnation)

    def _replace_request_server(self, incarnation: int) -> None:
        self._request_server.stop()
        server = self._build_request_server(incarnation)
        server.start()
        with self._lock:
            self._request_server = server
            server.set_view(self._replica.view)
        if self._is_draining:
            server.start_drain()

    def _wait_idle(self) -> None:
        pause = threading.Event()
        deadline_s = self._clock.now() + self._settings.drain_limit_s
        while self._clock.now() < deadline_s and not self.threads.is_stop_urgent:
            if not self._controller.flow_count and self._request_server.wait_idle(0.0):
                return
            pause.wait(STOP_POLL_S)

    def _count(self, action: Count) -> None:
        self.metrics.count(action.name, action.reason, action.amount)

    def _observe(self, latency_s: float, is_shed: bool) -> None:
        self._executor.handle(OutcomeObserved(latency_s, is_shed))

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
    """Run an agent until it is stopped and return the exit status.

    Parameters
    ----------
    settings : AgentSettings
        Settings of this agent.
    wait : callable, optional
        Blocks until the agent has to stop; by default until a signal arrives.
    """
    tun = None
    if settings.backend.delivery == "tun":
        tun = open_tun(settings.backend.tun_device)
    daemon = AgentDaemon(settings, MonotonicClock(), random.SystemRandom(), tun)
    return run_daemon(daemon, wait)
