"""Carrying out of the flow controller's decisions, and its events."""

import threading
from collections import deque
from collections.abc import Callable

from bramleystair.actions import Count, Send
from bramleystair.backend import Delivery
from bramleystair.fabric import FabricSender
from bramleystair.flows import (
    CloseFlow,
    Deliver,
    DeliveryFailed,
    FlowAction,
    FlowController,
    FlowEvent,
    OutboundPacketSent,
    ResetCaller,
    ResetServer,
)
from bramleystair.metrics import Metrics
from bramleystair.packets import build_reset
from bramleystair.timers import Clock
from bramleystair.wire import Message


class FlowRunner:
    """Deliver events to the flow controller and carry out its actions.

    It is the delivery's `ReplyHandler`. Events that arise while an action is carried
    out are handled after it, on the same thread.

    Parameters
    ----------
    controller : FlowController
        Decides.
    lock : threading.RLock
        Guards the controller and the replica of this agent.
    clock : Clock
        Time of events.
    send : callable
        Sends a message to a named peer.
    fabric : FabricSender
        Takes packets for callers.
    metrics : Metrics
        Counts what the controller says.
    """

    def __init__(
        self,
        controller: FlowController,
        lock: threading.RLock,
        clock: Clock,
        send: Callable[[str, Message], None],
        fabric: FabricSender,
        metrics: Metrics,
    ) -> None:
        self.delivery: Delivery | None = None
        self._controller = controller
        self._lock = lock
        self._clock = clock
        self._send = send
        self._fabric = fabric
        self._metrics = metrics
        self._events: deque[FlowEvent] = deque()
        self._is_handling = False

    def handle(self, event: FlowEvent) -> None:
        """Handle `event` and those that follow from it."""
        with self._lock:
            self._events.append(event)
            if self._is_handling:
                return
            self._is_handling = True
            try:
                while self._events:
                    self._handle_next()
            finally:
                self._is_handling = False

    def handle_reply(self, flow: bytes, packet: bytes) -> None:
        """Send a packet of the backend server to the caller."""
        if not self._fabric.send(packet):
            self._metrics.count("packet_dropped", "fabric")
        self.handle(OutboundPacketSent(flow, packet))

    def handle_refusal(self, flow: bytes) -> None:
        """Tell the controller that the backend server's half of `flow` is gone."""
        self.handle(DeliveryFailed(flow))

    def count_drop(self, reason: str) -> None:
        """Count a packet that delivery dropped."""
        self._metrics.count("delivery_dropped", reason)

    def _handle_next(self) -> None:
        event = self._events.popleft()
        closed = []
        for action in self._controller.handle(event, self._clock.now()):
            if isinstance(action, CloseFlow):
                closed.append(action.flow)
            else:
                self._carry_out(action)
        # A reset may need what delivery still holds of the flow.
        for flow in closed:
            self.delivery.close_flow(flow)

    def _carry_out(self, action: FlowAction) -> None:
        match action:
            case Deliver(_, flow, packet):
                self.delivery.deliver(flow, packet)
            case Send(peer, message):
                self._send(peer, message)
            case Count(name, reason, amount):
                self._metrics.count(name, reason, amount)
            case ResetCaller(_, packet):
                self._reset_caller(packet)
            case ResetServer(flow, packet):
                self.delivery.reset_server(flow, packet)

    def _reset_caller(self, packet: bytes) -> None:
        # Datagrams have no reset; the caller notices by its own time-out.
        reset = build_reset(packet)
        if reset and not self._fabric.send(reset):
            self._metrics.count("packet_dropped", "fabric")
