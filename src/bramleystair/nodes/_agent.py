"""Agent process, which runs on the VM of a backend server."""

import random as random_module
from collections.abc import Iterable
from concurrent.futures import Future

from bramleystair.http import (
    HttpClient,
    HttpFailure,
    HttpReply,
    HttpRequest,
    HttpResponse,
)
from bramleystair.logs import get_logger
from bramleystair.loop import EventLoop
from bramleystair.mirror import Mirror, ObjectStore, Publisher, RetryQueue
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._node import NodeBase, call_later
from bramleystair.nodes._reload import SettingsChange
from bramleystair.nodes._reports import (
    RefusalLog,
    ReportError,
    ReportParser,
    find_conflict,
)
from bramleystair.nodes._settings import (
    EPOCH_KIND,
    MEMBER_KIND,
    NodeSettings,
    PacketCodec,
)
from bramleystair.steering import (
    Action,
    DeclineSlot,
    DeliverToServer,
    EntryChanged,
    EntryWithdrawn,
    LookupProbe,
    LookupRequest,
    Message,
    OpenFlow,
    Relay,
    SendMessage,
    ServerReport,
    ServerShutdown,
    StoreRestored,
    Subscribe,
    encode_entry,
)
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings

log = get_logger("agent")

# Time after the stop signal for replies to balancers that have just sent packets.
SHUTDOWN_DELAY_S = 0.15
# A server that starts together with its agent passes a health check within these
# attempts; after them, the agent waits for the report of the server.
HEALTH_ATTEMPTS = 10
HEALTH_RETRY_DELAY_S = 0.1
HEALTH_TIMEOUT_S = 0.3
HEALTHY_STATUS = 200
# Minimum interval between calls that ask the store for its epoch because balancers know
# a later one; the timeout of a call.
EPOCH_CHECK_INTERVAL_S = 1.5
# Interval at which an agent reads its own entry, in case no balancer saw it change.
ENTRY_CHECK_INTERVAL_S = 18.0
# Number of the checks whether a server that reported its shutdown has exited; delay of
# the first one, and of the others in report intervals.
EXIT_CHECKS = 10
EXIT_CHECK_DELAY_S = 0.3
EXIT_CHECK_INTERVAL_HEARTBEATS = 0.5
# Minimum interval between reads of the settings because a report contradicts them.
SETTINGS_CHECK_INTERVAL_S = 0.5


class AgentNode(NodeBase):
    """Agent of one backend server.

    Parameters
    ----------
    loop, settings, codec, store
        See `NodeBase`.
    parse_report : callable
        Parses an HTTP request of the server: returns its report, or an error.
    random : random.Random
        Source of randomness for jitter.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: NodeSettings,
        codec: PacketCodec,
        store: ObjectStore,
        parse_report: ReportParser,
        random: random_module.Random,
    ) -> None:
        super().__init__(loop, settings, codec, store)
        self._parse_report = parse_report
        self._steering = AgentSteering(
            settings.packet_address,
            settings.zone,
            AgentSteeringSettings(
                heartbeat_s=settings.heartbeat_s,
                flow_lifetime_s=settings.flow_lifetime_s,
                options=settings.options,
            ),
            loop.clock.now(),
        )
        self._outbound_socket = DatagramSocket(
            loop, settings.outbound_address, self._handle_server_datagram, self.metrics
        )
        self._add_http_server(settings.report_address, self._answer_report)
        self._health_client = HttpClient(loop, settings.server_address)
        self._publisher = Publisher(
            store,
            MEMBER_KIND,
            settings.packet_address[0],
            loop.timers,
            random,
            self.metrics,
        )
        self._epoch_watch = Mirror(
            store,
            EPOCH_KIND,
            loop.timers,
            RetryQueue(loop.timers, random),
            self.metrics,
            lambda items: None,
            allow_stale=True,
        )
        self._next_epoch_check_s = float("-inf")
        self._next_settings_check_s = float("-inf")
        self._refusal_log = RefusalLog(loop.timers, self.metrics)

    def start(self) -> None:
        """Start the timers, the health check of the server and the store's watch."""
        self._schedule_timer()
        self._epoch_watch.start()
        self._check_health(HEALTH_ATTEMPTS)
        call_later(self._loop, ENTRY_CHECK_INTERVAL_S, self._check_entry)

    def stop(self) -> None:
        """Refuse new flows, then stop the loop; the server keeps its flows."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._execute(self._steering.stop(self._loop.clock.now()))
        if self._steering.is_server_absent or self._steering.has_shutdown_report:
            # No other process removes the entry of a VM that does not return.
            self._publisher.remove()
            self._announce_withdrawal()
        log.info("agent stopping", extra={"flows": self._steering.flow_count})
        call_later(self._loop, SHUTDOWN_DELAY_S, self._loop.stop)

    def is_ready(self) -> bool:
        """Return True: an agent is ready as soon as it runs."""
        return True

    def close(self) -> None:
        """Close all sockets."""
        super().close()
        self._outbound_socket.close()
        self._health_client.close()

    def _apply_change(self, change: SettingsChange) -> None:
        settings = change.settings
        self._steering.set_timing(settings.heartbeat_s, settings.flow_lifetime_s)
        if "server_address" in change.applied:
            self._steering.handle_server_moved()
        if "store_address" in change.applied:
            self._epoch_watch.restart()
            self._publisher.verify()

    def _compute_wait(self, now: float) -> float:
        return self._steering.compute_wait(now)

    def _run_timers(self, now: float) -> Iterable[Action]:
        return self._steering.run_timers(now)

    def _execute_action(self, action: Action) -> None:
        if isinstance(action, DeliverToServer):
            self._outbound_socket.send(action.data, self._settings.server_address)
        else:
            super()._execute_action(action)

    def _handle_packet_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        self._handle_message_datagram(data, sender)

    def _handle_message(
        self, message: Message, sender: tuple[str, int], now: float
    ) -> Iterable[Action]:
        if isinstance(message, Subscribe):
            return self._steering.handle_subscription(sender, message, now)
        if isinstance(message, LookupRequest):
            return self._steering.handle_lookup(sender, message, now)
        if isinstance(message, DeclineSlot):
            return self._steering.handle_decline(sender, now)
        if isinstance(message, StoreRestored):
            self._check_epoch(message.epoch, now)
            return ()
        if isinstance(message, EntryChanged):
            return self._handle_entry_change(sender, message, now)
        if not isinstance(message, Relay | OpenFlow | LookupProbe):
            self.metrics.count("message_dropped", "unexpected")
            return ()
        segment = self._codec.decode_inbound(message.data)
        if segment is None:
            self.metrics.count("message_dropped", "malformed")
            return ()
        match message:
            case Relay():
                return self._steering.handle_relay(sender, segment, now)
            case OpenFlow():
                return self._steering.handle_open(sender, message, segment, now)
            case LookupProbe():
                return self._steering.handle_lookup_probe(sender, message, segment, now)

    def _check_epoch(self, epoch: int, now: float) -> None:
        """Ask the store for its epoch if a balancer knows a later one.

        The response that should have shown it was lost. If the epoch has risen, the
        publisher writes again.
        """
        known = self._store.epoch.current
        if known is not None and epoch <= known:
            return
        if now < self._next_epoch_check_s:
            return
        self._next_epoch_check_s = now + EPOCH_CHECK_INTERVAL_S
        log.info(
            "a balancer knows a later epoch of the store",
            extra={"epoch": epoch, "known_epoch": known},
        )
        self._epoch_watch.restart()

    def _handle_entry_change(
        self, sender: tuple[str, int], message: EntryChanged, now: float
    ) -> Iterable[Action]:
        """Write the entry again if a balancer saw a change that is not this agent's."""
        known = self._store.epoch.current or 0
        if message.epoch > known:
            self._check_epoch(message.epoch, now)
        # A balancer that has not reached the store since its start knows no epoch.
        elif message.epoch in (0, known):
            self._publisher.handle_change(message.revision, message.is_missing)
        if self._publisher.is_withdrawn:
            return (SendMessage(sender, EntryWithdrawn()),)
        return ()

    def _check_entry(self) -> None:
        self._publisher.check()
        call_later(self._loop, ENTRY_CHECK_INTERVAL_S, self._check_entry)

    def _check_health(self, attempts_left: int) -> None:
        """Check the server's health until it passes or the server has reported."""
        if attempts_left == 0 or self._steering.has_report or self._is_stopping:
            self._health_client.close()
            return
        call = self._health_client.call(
            "GET", self._settings.health_path, timeout_s=HEALTH_TIMEOUT_S
        )
        call.add_done_callback(
            lambda done: self._handle_health_response(done, attempts_left)
        )

    def _handle_health_response(self, call: Future, attempts_left: int) -> None:
        response = call.result()
        if isinstance(response, HttpResponse) and response.status == HEALTHY_STATUS:
            now = self._loop.clock.now()
            self._execute(self._steering.assume_ready(self._settings.service, now))
            self._health_client.close()
            return
        if isinstance(response, HttpFailure) and response.is_connection_refused:
            self._steering.set_server_absent(self._loop.clock.now())
        call_later(
            self._loop,
            HEALTH_RETRY_DELAY_S,
            lambda: self._check_health(attempts_left - 1),
        )

    def _handle_server_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.decode_outbound(data)
        if segment is None:
            self.metrics.count("packet_dropped", "malformed")
            return
        now = self._loop.clock.now()
        self._execute(self._steering.handle_server_segment(segment, now))

    def _answer_report(self, request: HttpRequest) -> HttpReply:
        result = self._parse_report(request)
        if result.is_err():
            return self._refuse_report(result.unwrap_err())
        now = self._loop.clock.now()
        match result.unwrap():
            case ServerReport() as report:
                conflict = self._find_conflict(report, now)
                if conflict is not None:
                    return self._refuse_report(conflict)
                self._execute(self._steering.handle_report(report, now))
            case ServerShutdown() as shutdown:
                if not self._steering.knows_server(shutdown):
                    return self._refuse_report(
                        ReportError(
                            "shut down", shutdown.server, "not known", "other_server"
                        )
                    )
                had_report = self._steering.has_report
                self._execute(self._steering.remove_server(shutdown, now))
                if had_report and not self._steering.has_report:
                    self._check_exit(EXIT_CHECKS, EXIT_CHECK_DELAY_S)
        self._publish_entry()
        return HttpReply(200, b"{}")

    def _refuse_report(self, error: ReportError) -> HttpReply:
        self._refusal_log.record(error)
        return HttpReply(400, b"{}")

    def _find_conflict(self, report: ServerReport, now: float) -> ReportError | None:
        """Return how a report contradicts the settings, or None.

        The server may report before a change of the settings has been read, so they are
        read then. One that was in use before a change is so until another one reports.
        """
        conflict = find_conflict(report, self._settings)
        if conflict is None or self._steering.is_known(report):
            return None
        if now < self._next_settings_check_s:
            return conflict
        self._next_settings_check_s = now + SETTINGS_CHECK_INTERVAL_S
        self.reread_settings()
        return find_conflict(report, self._settings)

    def _publish_entry(self) -> None:
        entry = self._steering.build_entry()
        self._publisher.publish(None if entry is None else encode_entry(entry))
        self._announce_withdrawal()

    def _announce_withdrawal(self) -> None:
        now = self._loop.clock.now()
        is_withdrawn = self._publisher.is_withdrawn
        self._execute(self._steering.set_withdrawn(is_withdrawn, now))

    def _check_exit(self, attempts_left: int, delay_s: float) -> None:
        """Remove the entry once the server that reported its shutdown has exited."""
        call_later(self._loop, delay_s, lambda: self._send_exit_check(attempts_left))

    def _send_exit_check(self, attempts_left: int) -> None:
        if attempts_left == 0 or self._steering.has_report or self._is_stopping:
            self._health_client.close()
            return
        call = self._health_client.call(
            "GET", self._settings.health_path, timeout_s=HEALTH_TIMEOUT_S
        )
        call.add_done_callback(
            lambda done: self._handle_exit_check(done, attempts_left)
        )

    def _handle_exit_check(self, call: Future, attempts_left: int) -> None:
        response = call.result()
        if isinstance(response, HttpFailure) and response.is_connection_refused:
            self._steering.set_server_absent(self._loop.clock.now())
        if self._steering.check_exit(self._loop.clock.now()):
            self._publish_entry()
            return
        delay_s = EXIT_CHECK_INTERVAL_HEARTBEATS * self._settings.heartbeat_s
        self._check_exit(attempts_left - 1, delay_s)
