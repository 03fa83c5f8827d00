"""Process of an agent beside a backend server."""

import random as random_module
from collections.abc import Callable, Iterable
from concurrent.futures import Future

from result import Result

from bramleystair.errors import StepError
from bramleystair.http import (
    HttpClient,
    HttpFailure,
    HttpReply,
    HttpRequest,
    HttpResponse,
)
from bramleystair.logs import get_logger
from bramleystair.loop import EventLoop
from bramleystair.mirror import ObjectStore, Publisher
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._node import NodeBase, subscribe_once
from bramleystair.nodes._reload import SettingsChange
from bramleystair.nodes._settings import MEMBER_KIND, NodeSettings, PacketCodec
from bramleystair.steering import (
    Action,
    DeclineSlot,
    DeliverToServer,
    LookupProbe,
    LookupRequest,
    Message,
    OpenFlow,
    Relay,
    ServerReport,
    Subscribe,
    encode_entry,
)
from bramleystair.steering.agent import AgentSteering, AgentSteeringSettings

log = get_logger("agent")

# Replies to balancers that have sent packets just before the stop.
STOP_DELAY_S = 0.15
# A server that starts together with its agent answers within some of these attempts;
# afterwards its own report is awaited.
HEALTH_ATTEMPTS = 10
HEALTH_DELAY_S = 0.1
HEALTH_TIMEOUT_S = 0.3
HEALTHY = 200

ReadReport = Callable[[HttpRequest], Result[ServerReport | str, StepError]]


class AgentNode(NodeBase):
    """Run one agent.

    Parameters
    ----------
    loop, settings, codec, store
        See `NodeBase`.
    read_report : callable
        Returns a server's report from its call, its identity when it is gone, or an
        error.
    random : random.Random
        Source of jitter.
    started_s : float
        Time of day at which the process started, or 0 if that is not known.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: NodeSettings,
        codec: PacketCodec,
        store: ObjectStore,
        read_report: ReadReport,
        random: random_module.Random,
        started_s: float = 0.0,
    ) -> None:
        super().__init__(loop, settings, codec, store)
        self._read_report = read_report
        self._steering = AgentSteering(
            settings.packet_address,
            settings.zone,
            AgentSteeringSettings(
                heartbeat_s=settings.heartbeat_s,
                flow_lifetime_s=settings.flow_lifetime_s,
            ),
            loop.clock.now(),
            int(started_s * 1000),
        )
        self._outbound = DatagramSocket(
            loop, settings.outbound_address, self._take_server_packet, self.metrics
        )
        self._serve(settings.report_address, self._answer_report)
        self._health = HttpClient(loop, settings.server_address)
        self._publisher = Publisher(
            store, MEMBER_KIND, settings.packet_address[0], loop.timers, random
        )

    def start(self) -> None:
        """Begin to serve."""
        self._schedule()
        self._check_health(HEALTH_ATTEMPTS)

    def stop(self) -> None:
        """Refuse new flows, then end; the server keeps its flows."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self._handle(self._steering.stop(self._loop.clock.now()))
        if self._steering.is_server_absent:
            # Nothing else would remove the entry of a VM that does not come back.
            self._publisher.remove()
        log.info("stopping", extra={"flows": self._steering.flow_count})
        subscribe_once(self._loop, STOP_DELAY_S, self._loop.stop)

    def is_ready(self) -> bool:
        """Return whether the agent serves."""
        return True

    def close(self) -> None:
        """Close all sockets."""
        super().close()
        self._outbound.close()
        self._health.close()

    def _use_settings(self, change: SettingsChange) -> None:
        settings = change.settings
        self._steering.set_timing(settings.heartbeat_s, settings.flow_lifetime_s)

    def _compute_wait(self, now: float) -> float:
        return self._steering.compute_wait(now)

    def _run_timers(self, now: float) -> Iterable[Action]:
        return self._steering.run_timers(now)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, DeliverToServer):
            self._outbound.send(action.data, self._settings.server_address)
        else:
            super()._carry_out(action)

    def _take_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        self._take_message(data, sender)

    def _respond(
        self, message: Message, sender: tuple[str, int], now: float
    ) -> Iterable[Action]:
        if isinstance(message, Subscribe):
            return self._steering.handle_subscription(sender, message, now)
        if isinstance(message, LookupRequest):
            return self._steering.handle_lookup(sender, message, now)
        if isinstance(message, DeclineSlot):
            return self._steering.handle_decline(sender, now)
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

    def _check_health(self, attempts: int) -> None:
        """Ask the server for its health until it is known whether it serves."""
        if attempts == 0 or self._steering.has_report or self._is_stopping:
            self._health.close()
            return
        call = self._health.call(
            "GET", self._settings.health_path, timeout_s=HEALTH_TIMEOUT_S
        )
        call.add_done_callback(lambda done: self._take_health(done, attempts))

    def _take_health(self, call: Future, attempts: int) -> None:
        response = call.result()
        if isinstance(response, HttpResponse) and response.status == HEALTHY:
            now = self._loop.clock.now()
            self._handle(self._steering.assume_ready(self._settings.service, now))
            self._health.close()
            return
        if isinstance(response, HttpFailure) and response.is_refused:
            self._steering.set_server_absent()
        subscribe_once(
            self._loop, HEALTH_DELAY_S, lambda: self._check_health(attempts - 1)
        )

    def _take_server_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        segment = self._codec.decode_outbound(data)
        if segment is None:
            self.metrics.count("packet_dropped", "malformed")
            return
        now = self._loop.clock.now()
        self._handle(self._steering.handle_server_segment(segment, now))

    def _answer_report(self, request: HttpRequest) -> HttpReply:
        result = self._read_report(request)
        if result.is_err():
            self.metrics.count("report_ignored", "malformed")
            log.warning("report ignored: %s", result.unwrap_err())
            return HttpReply(400, b"{}")
        now = self._loop.clock.now()
        match result.unwrap():
            case ServerReport() as report:
                self._handle(self._steering.handle_report(report, now))
            case str() as server:
                self._handle(self._steering.remove_server(server, now))
        entry = self._steering.build_entry()
        self._publisher.publish(None if entry is None else encode_entry(entry))
        return HttpReply(200, b"{}")
