"""The agent's decisions about flows."""

from bramleystair.flows._events import (
    CloseFlow,
    Deliver,
    DeliveryFailed,
    DrainRequested,
    FlowAction,
    FlowEvent,
    MessageArrived,
    OutboundSeen,
    OutcomeSeen,
    ResetCaller,
    ResetServer,
    Tick,
    ViewChanged,
)

__all__ = [
    "CloseFlow",
    "Deliver",
    "DeliveryFailed",
    "DrainRequested",
    "FlowAction",
    "FlowEvent",
    "MessageArrived",
    "OutboundSeen",
    "OutcomeSeen",
    "ResetCaller",
    "ResetServer",
    "Tick",
    "ViewChanged",
]
