"""Passes events to the flow controller and executes the actions that it returns."""

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


class FlowActionExecutor:
    """Pass events to the flow controller and execute its actions.

    It is the `ReplyHandler` of the delivery. Events that occur during the execution of
    an action are queued and handled after it, on the same thread.

    Parameters
    ----------
    controller : FlowController
        Returns the actions for each event.
    lock : threading.RLock
        Protects the controller and the replica of this agent.
    clock : Clock
        Clock whose time the controller gets with each event.
    send : callable
        Sends a message to a named peer.
    fabric : FabricSender
        Sends packets to callers.
    metrics : Metrics
        Registry that counts dropped packets and the controller's `Count` actions.
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
        """Handle `event` and the events that its actions cause."""
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
        """Send a packet from the backend server to the caller."""
        if not self._fabric.send(packet):
            self._metrics.count("packet_dropped", "fabric")
        self.handle(OutboundPacketSent(flow, packet))

    def handle_refusal(self, flow: bytes) -> None:
        """Tell the controller that the backend server refused a packet of `flow`."""
        self.handle(DeliveryFailed(flow))

    def count_drop(self, reason: str) -> None:
        """Count a packet that the delivery dropped."""
        self._metrics.count("delivery_dropped", reason)

    def _handle_next(self) -> None:
        event = self._events.popleft()
        flows_to_close = []
        for action in self._controller.handle(event, self._clock.now()):
            if isinstance(action, CloseFlow):
                flows_to_close.append(action.flow)
            else:
                self._execute(action)
        # Close flows last: a reset may need the state that the delivery keeps for them.
        for flow in flows_to_close:
            self.delivery.close_flow(flow)

    def _execute(self, action: FlowAction) -> None:
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
        # UDP has no reset, so a UDP caller notices only by its own time-out.
        reset = build_reset(packet)
        if reset and not self._fabric.send(reset):
            self._metrics.count("packet_dropped", "fabric")
