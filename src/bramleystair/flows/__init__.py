"""Flow controller of the agent: admission, placement and lookup of flows."""

from bramleystair.flows._admission import Admission
from bramleystair.flows._cold_start import ColdStart
from bramleystair.flows._controller import FlowController
from bramleystair.flows._events import (
    CloseFlow,
    Deliver,
    DeliveryFailed,
    DrainRequested,
    FlowAction,
    FlowEvent,
    LimitAdvised,
    MessageArrived,
    OutboundPacketSent,
    OutcomeObserved,
    ResetCaller,
    ResetServer,
    Tick,
    ViewChanged,
)
from bramleystair.flows._settings import TICK_PERIOD_S, FlowSettings

__all__ = [
    "TICK_PERIOD_S",
    "Admission",
    "ColdStart",
    "FlowController",
    "FlowSettings",
    "LimitAdvised",
    "CloseFlow",
    "Deliver",
    "DeliveryFailed",
    "DrainRequested",
    "FlowAction",
    "FlowEvent",
    "MessageArrived",
    "OutboundPacketSent",
    "OutcomeObserved",
    "ResetCaller",
    "ResetServer",
    "Tick",
    "ViewChanged",
]
