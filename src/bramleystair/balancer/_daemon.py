"""Balancer process: sockets, threads and timers around the replica and dispatcher."""

import random
import threading
from collections.abc import Callable

from bramleystair.actions import Count, Send
from bramleystair.balancer._forwarding import Forwarder
from bramleystair.caller import CallerServer
from bramleystair.daemons import (
    Messenger,
    PlatformLink,
    ThreadGroup,
    create_incarnation,
    run_daemon,
)
from bramleystair.fabric import open_udp_socket
from bramleystair.logs import get_logger
from bramleystair.metrics import Metrics, MetricsServer, NodeStatus
from bramleystair.replicas import (
    BalancerReplica,
    IncarnationRaised,
    MessageArrived,
    ProcessReplaced,
    RenewLease,
    ReplicaAction,
    ReplicaEvent,
    Tick,
    ViewUpdated,
    WatcherRoleChanged,
)
from bramleystair.requests import Dispatcher
from bramleystair.settings import BalancerSettings, build_peers
from bramleystair.timers import Clock, MonotonicClock, TimerService
from bramleystair.views import View
from bramleystair.wire import Envelope, Heartbeat

TICK_PERIOD_S = 0.1
# Loops for packets, messages and timers, and spare threads for short jobs.
MAX_THREADS = 12
BUFFER_BYTES = 1_048_576
STOP_POLL_S = 0.1

log = get_logger("balancer")


class BalancerDaemon:
    """Run one balancer.

    Parameters
    ----------
    settings : BalancerSettings
        Settings of this node.
    clock : Clock
        Clock of the replica, the dispatcher and the timers.
    source : random.Random
        Random number generator of all components.
    """

    def __init__(
        self, settings: BalancerSettings, clock: Clock, source: random.Random
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.RLock()
        self._is_stopping = False
        incarnation = create_incarnation()
        self.metrics = Metrics({"node": settings.node})
        self.timers = TimerService(clock)
        self.threads = ThreadGroup(self.timers, MAX_THREADS)
        self._replica = self._build_replica(incarnation, source)
        self._messenger = Messenger(
            settings.node,
            incarnation,
            open_udp_socket(settings.host, settings.message_port, BUFFER_BYTES),
            self._replica.resolve,
            self.metrics,
        )
        fabric = settings.fabric
        self._forwarder = Forwarder(
            settings.node,
            incarnation,
            open_udp_socket(settings.host, fabric.port, fabric.receive_buffer_bytes),
            fabric.network_id,
            self.metrics,
        )
        self._caller_server = self._build_caller_server(incarnation, source)
        self._platform = PlatformLink(
            settings.platform, self.metrics, self._handle_event, source
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
        self.threads.start("messages", self._messenger.run, self._handle_envelope)
        self._handle_event(Tick())
        self.timers.call_every(TICK_PERIOD_S, lambda now: self._handle_event(Tick()))
        self._caller_server.start()
        self.threads.start("packets", self._forwarder.run)
        log.info(
            "%s started, incarnation %d",
            self._settings.node,
            self._incarnation,
        )

    def stop(self) -> None:
        """Finish the requests in progress, then stop all servers and threads."""
        self._is_stopping = True
        deadline_s = self._clock.now() + self._settings.withdraw_s
        log.info("stopping: finishing the requests in progress")
        self._caller_server.stop()
        pause = threading.Event()
        while self._clock.now() < deadline_s and not self.threads.is_stop_urgent:
            pause.wait(STOP_POLL_S)
        self._forwarder.stop()
        self._platform.close()
        self._messenger.stop()
        self._metrics_server.close()
        self.threads.close()
        self._forwarder.close()
        self._messenger.close()
        log.info("stopped")

    def get_health(self) -> dict:
        """Return the state that `/healthz` reports."""
        view = self._get_view()
        in_service = view.is_in_service(self._settings.zone)
        return {
            "ready": bool(view.tables) and in_service and not self._is_stopping,
            "zone_in_service": in_service,
            "stopping": self._is_stopping,
            "versions": {
                service: table.version for service, table in view.tables.items()
            },
            "zones": {zone: mark.version for zone, mark in view.zones.items()},
            "agents": len(view.agents),
            "down": sorted(server for server, _ in view.down),
        }

    def get_status(self) -> NodeStatus:
        """Return the state that `/status` reports."""
        with self._lock:
            versions = {
                item.key: item.version for item in self._replica.store.list_objects()
            }
        state = "stopping" if self._is_stopping else "ready"
        return NodeStatus(
            self._settings.node, "balancer", self._settings.zone, versions, state
        )

    @property
    def _incarnation(self) -> int:
        return self._messenger.incarnation

    def _get_view(self) -> View:
        with self._lock:
            return self._replica.view

    def _build_replica(
        self, incarnation: int, source: random.Random
    ) -> BalancerReplica:
        settings = self._settings
        return BalancerReplica(
            settings.node,
            settings.zone,
            settings.region,
            incarnation,
            build_peers(settings.seeds),
            settings.versions.build_replica_settings(
                settings.host,
                settings.message_port,
                settings.seeds,
                settings.http_port,
            ),
            source,
        )

    def _build_caller_server(
        self, incarnation: int, source: random.Random
    ) -> CallerServer:
        settings = self._settings
        return CallerServer(
            settings.host,
            settings.http_port,
            settings.node,
            incarnation,
            Dispatcher(settings.requests, source),
            self.timers,
            settings.caller,
            self._count,
        )

    def _handle_envelope(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, Heartbeat) and message.loads:
            self._caller_server.set_loads(envelope.sender, message.loads)
        self._handle_event(MessageArrived(envelope.sender, message))

    def _handle_event(self, event: ReplicaEvent) -> None:
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
                self._forwarder.set_view(view)
                self._caller_server.set_view(view)
            case WatcherRoleChanged(is_watcher):
                self._platform.set_watch(is_watcher)
            case RenewLease(announcement):
                lease_s = self._settings.versions.lease_s
                self._platform.renew(announcement, lease_s)
            case IncarnationRaised(incarnation):
                log.warning("lease expired; continuing as incarnation %d", incarnation)
                self._messenger.incarnation = incarnation
                self._forwarder.incarnation = incarnation
            case ProcessReplaced(incarnation):
                log.error(
                    "another process, incarnation %d, uses this node name; stopping",
                    incarnation,
                )
                self.threads.request_stop()

    def _count(self, action: Count) -> None:
        self.metrics.count(action.name, action.reason, action.amount)

    def _set_gauges(self) -> None:
        view = self._get_view()
        self.metrics.set_gauge("packets_received", self._forwarder.packet_count)
        self.metrics.set_gauge("last_packet_s", self._forwarder.last_packet_s)
        for service, table in view.tables.items():
            self.metrics.set_gauge("table_version", table.version, service)


def run_balancer(
    settings: BalancerSettings, wait: Callable[[ThreadGroup], None] | None = None
) -> int:
    """Run a balancer until it is stopped and return the exit status.

    Parameters
    ----------
    settings : BalancerSettings
        Settings of this node.
    wait : callable, optional
        Blocks until the balancer has to stop; by default until a signal arrives.
    """
    daemon = BalancerDaemon(settings, MonotonicClock(), random.SystemRandom())
    return run_daemon(daemon, wait)
