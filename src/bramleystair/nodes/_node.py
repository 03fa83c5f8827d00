"""What balancer and agent processes have in common."""

import abc
from collections.abc import Callable, Iterable

from bramleystair.actions import Count, Observe
from bramleystair.http import HttpReply, HttpRequest, HttpServer
from bramleystair.loop import EventLoop
from bramleystair.metrics import Metrics
from bramleystair.mirror import ObjectStore
from bramleystair.nodes._datagrams import DatagramSocket
from bramleystair.nodes._journal import DecisionJournal
from bramleystair.nodes._reload import SettingsChange, compare_settings
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
from bramleystair.timers import Subscription

# Bounds the accuracy of timers and the wake-ups of an idle process.
MIN_TIMER_S = 0.005
# Many of these go to one peer at a time, and each is shorter than a datagram's headers.
_BUNDLED = (LookupRequest, LookupReply)


class NodeBase(abc.ABC):
    """Carry out actions, serve readiness and metrics, and run the timers.

    Parameters
    ----------
    loop : EventLoop
        Loop that drives all sockets.
    settings : NodeSettings
        Addresses and times.
    codec : PacketCodec
        Layout of packets.
    store : ObjectStore
        Platform's store.
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
        self._journal = DecisionJournal(loop.clock.now)
        self._is_stopping = False
        self._timer: Subscription | None = None
        self._timer_due_s = float("inf")
        self._packets = DatagramSocket(
            loop, settings.packet_address, self._take_packet, self.metrics
        )
        # Where messages are sent from; a balancer has a socket of its own for them.
        self._messages = self._packets
        self._caller_port = settings.packet_address[1]
        self._servers = [HttpServer(loop, settings.ready_address, self._answer_ready)]
        if settings.metrics_address is not None:
            self._serve(settings.metrics_address, self._answer_metrics)

    def apply_settings(self, settings: NodeSettings) -> SettingsChange:
        """Take over changed settings and return what that changed."""
        change = compare_settings(self._settings, settings)
        self._settings = change.settings
        if "store_address" in change.applied:
            self._store.set_address(change.settings.store_address)
        self._use_settings(change)
        return change

    def close(self) -> None:
        """Close all sockets."""
        self._packets.close()
        for server in self._servers:
            server.close()

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether the node may receive packets."""

    @abc.abstractmethod
    def _use_settings(self, change: SettingsChange) -> None:
        """Tell the parts that keep copies of settings."""

    @abc.abstractmethod
    def _compute_wait(self, now: float) -> float:
        """Return the seconds until `_run_timers` has something to do."""

    @abc.abstractmethod
    def _run_timers(self, now: float) -> Iterable[Action]:
        """Return the actions that are due."""

    @abc.abstractmethod
    def _take_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram that arrived at the address for packets."""

    @abc.abstractmethod
    def _respond(
        self, message: Message, sender: tuple[str, int], now: float
    ) -> Iterable[Action]:
        """Return the actions that a message calls for."""

    def _handle(self, actions: Iterable[Action]) -> None:
        bundles: dict[tuple[str, int], list[bytes]] = {}
        for action in actions:
            if isinstance(action, SendMessage) and isinstance(action.message, _BUNDLED):
                data = encode_message(action.message)
                bundles.setdefault(action.address, []).append(data)
            else:
                self._carry_out(action)
        for address, messages in bundles.items():
            self._messages.send(encode_bundle(messages), address)
        self._schedule()

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendMessage(address, message):
                self._messages.send(encode_message(message), address)
            case DeliverToCaller(flow, data):
                self._packets.send(data, self._get_caller_address(flow))
            case ResetCaller(flow, sequence):
                data = self._codec.build_reset(flow, sequence)
                self._packets.send(data, self._get_caller_address(flow))
                self.metrics.count("callers_reset")
            case Decision():
                self._journal.record(action)
            case Count(name, reason, amount):
                self.metrics.count(name, reason, amount)
            case Observe(name, seconds):
                self.metrics.observe(name, seconds)

    def _serve(
        self, address: tuple[str, int], respond: Callable[[HttpRequest], HttpReply]
    ) -> None:
        self._servers.append(HttpServer(self._loop, address, respond))

    def _get_caller_address(self, flow: bytes) -> tuple[str, int]:
        host = f"{flow[0]}.{flow[1]}.{flow[2]}.{flow[3]}"
        return host, self._caller_port

    def _take_message(self, data: bytes, sender: tuple[str, int]) -> None:
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
            actions += self._respond(message.unwrap(), sender, now)
        self._handle(actions)

    def _schedule(self) -> None:
        now = self._loop.clock.now()
        due_s = now + max(MIN_TIMER_S, self._compute_wait(now))
        if self._timer_due_s <= due_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_s = due_s
        self._timer = self._loop.timers.subscribe_once(due_s - now, self._wake)

    def _wake(self, now: float) -> None:
        self._timer_due_s = float("inf")
        self._handle(self._run_timers(now))

    def _answer_ready(self, request: HttpRequest) -> HttpReply:
        is_ready = self.is_ready() and not self._is_stopping
        return HttpReply(200 if is_ready else 503)

    def _answer_metrics(self, request: HttpRequest) -> HttpReply:
        body, _ = self.metrics.render()
        return HttpReply(200, body, "text/plain")


def subscribe_once(
    loop: EventLoop, delay_s: float, callback: Callable[[], None]
) -> None:
    """Call `callback` after `delay_s` seconds."""
    loop.timers.subscribe_once(delay_s, lambda _: callback())
