"""Base class of balancer and agent processes."""

import abc
from collections.abc import Callable, Iterable

from bramleystair.actions import Count, Observe
from bramleystair.http import HttpReply, HttpRequest, HttpServer
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.mirror import ObjectStore
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._decision_log import DecisionLog
from bramleystair.nodes._reload import SettingsChange, compute_settings_change
from bramleystair.nodes._settings import NodeSettings, PacketCodec
from bramleystair.steering import (
    Action,
    Decision,
    DeliverToCaller,
    LookupReply,
    LookupRequest,
    Message,
    ResetCaller,
    SendMessage,
    decode_message,
    encode_bundle,
    encode_message,
    split_bundle,
)
from bramleystair.timers import TimerSubscription

# Shortest timer delay. It limits how often an idle process wakes up; timers are late by
# up to this time in return.
MIN_TIMER_DELAY_S = 0.005
# Types of messages that are sent together in one datagram: many of them go to the same
# peer at a time, and each is shorter than the headers of a datagram.
_BUNDLED_MESSAGES = (LookupRequest, LookupReply)


class NodeBase(abc.ABC):
    """Execute actions, serve readiness and metrics, and run timers.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives all sockets.
    settings : NodeSettings
        Addresses, intervals and limits.
    codec : PacketCodec
        Decodes and builds packets.
    store : ObjectStore
        Client of the platform's metadata store.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: NodeSettings,
        codec: PacketCodec,
        store: ObjectStore,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._codec = codec
        self._store = store
        self.metrics = Metrics({"node": settings.name})
        # Reads the settings file now; replaced once a `SettingsMonitor` runs.
        self.reread_settings: Callable[[], None] = lambda: None
        store.epoch.subscribe(lambda: self.metrics.count("store_restored"))
        self._decision_log = DecisionLog(loop.clock.now)
        self._is_stopping = False
        self._timer: TimerSubscription | None = None
        self._timer_due_s = float("inf")
        self._packet_socket = DatagramSocket(
            loop, settings.packet_address, self._handle_packet_datagram, self.metrics
        )
        # Socket that messages are sent from. `BalancerNode` sends them from a socket of
        # its own and overwrites this attribute.
        self._message_socket = self._packet_socket
        self._caller_port = settings.packet_address[1]
        self._http_servers = [
            HttpServer(loop, settings.ready_address, self._answer_readiness)
        ]
        if settings.metrics_address is not None:
            self._add_http_server(settings.metrics_address, self._answer_metrics)

    def apply_settings(self, settings: NodeSettings) -> SettingsChange:
        """Apply the reloadable settings that changed and return the change.

        Called each time the settings have been read while the node runs, also if none
        of them changed.
        """
        change = compute_settings_change(self._settings, settings)
        self._settings = change.settings
        if "store_address" in change.applied:
            self._store.set_address(change.settings.store_address)
        self._apply_change(change)
        return change

    def close(self) -> None:
        """Close all sockets."""
        self._packet_socket.close()
        for server in self._http_servers:
            server.close()

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether the node may receive packets.

        Does not consider a stop in progress: the answer to a readiness check is
        negative during one, whatever this method returns.
        """

    @abc.abstractmethod
    def _apply_change(self, change: SettingsChange) -> None:
        """Pass changed settings to the components that hold copies of them."""

    @abc.abstractmethod
    def _compute_wait(self, now: float) -> float:
        """Return the seconds until `_run_timers` is due."""

    @abc.abstractmethod
    def _run_timers(self, now: float) -> Iterable[Action]:
        """Return the actions of the timers that are due."""

    @abc.abstractmethod
    def _handle_packet_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram received at the packet address."""

    @abc.abstractmethod
    def _handle_message(
        self, message: Message, sender: tuple[str, int], now: float
    ) -> Iterable[Action]:
        """Return the actions in response to a message."""

    def _execute(self, actions: Iterable[Action]) -> None:
        bundles: dict[tuple[str, int], list[bytes]] = {}
        for action in actions:
            if isinstance(action, SendMessage) and isinstance(
                action.message, _BUNDLED_MESSAGES
            ):
                data = encode_message(action.message)
                bundles.setdefault(action.address, []).append(data)
            else:
                self._execute_action(action)
        for address, messages in bundles.items():
            self._message_socket.send(encode_bundle(messages), address)
        self._schedule_timer()

    def _execute_action(self, action: Action) -> None:
        match action:
            case SendMessage(address, message):
                self._message_socket.send(encode_message(message), address)
            case DeliverToCaller(flow, data):
                self._packet_socket.send(data, self._get_caller_address(flow))
            case ResetCaller(flow, sequence):
                data = self._codec.build_reset(flow, sequence)
                self._packet_socket.send(data, self._get_caller_address(flow))
                self.metrics.count("callers_reset")
            case Decision():
                self._decision_log.record(action)
            case Count(name, reason, amount):
                self.metrics.count(name, reason, amount)
            case Observe(name, seconds):
                self.metrics.observe(name, seconds)

    def _add_http_server(
        self, address: tuple[str, int], respond: Callable[[HttpRequest], HttpReply]
    ) -> None:
        self._http_servers.append(HttpServer(self._loop, address, respond))

    def _get_caller_address(self, flow: bytes) -> tuple[str, int]:
        host = f"{flow[0]}.{flow[1]}.{flow[2]}.{flow[3]}"
        return host, self._caller_port

    def _handle_message_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        result = split_bundle(data)
        if result.is_err():
            self.metrics.count("message_dropped", "malformed")
            return
        now = self._loop.clock.now()
        actions: list[Action] = []
        for part in result.unwrap():
            message = decode_message(part)
            if message.is_err():
                self.metrics.count("message_dropped", "malformed")
                continue
            actions += self._handle_message(message.unwrap(), sender, now)
        self._execute(actions)

    def _schedule_timer(self) -> None:
        now = self._loop.clock.now()
        due_s = now + max(MIN_TIMER_DELAY_S, self._compute_wait(now))
        if self._timer_due_s <= due_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_s = due_s
        self._timer = self._loop.timers.subscribe_once(due_s - now, self._on_timer)

    def _on_timer(self, now: float) -> None:
        self._timer_due_s = float("inf")
        self._execute(self._run_timers(now))

    def _answer_readiness(self, request: HttpRequest) -> HttpReply:
        is_ready = self.is_ready() and not self._is_stopping
        return HttpReply(200 if is_ready else 503)

    def _answer_metrics(self, request: HttpRequest) -> HttpReply:
        body, _ = self.metrics.render()
        return HttpReply(200, body, "text/plain")


def call_later(loop: EventLoop, delay_s: float, callback: Callable[[], None]) -> None:
    """Call `callback` after `delay_s` seconds."""
    loop.timers.subscribe_once(delay_s, lambda _: callback())
