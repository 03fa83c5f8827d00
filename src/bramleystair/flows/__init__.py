"""The agent's decisions about flows."""

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
    MessageArrived,
    OutboundSeen,
    OutcomeSeen,
    ResetCaller,
    ResetServer,
    Tick,
    ViewChanged,
)
from bramleystair.flows._settings import FlowSettings

__all__ = [
    "Admission",
    "ColdStart",
    "FlowController",
    "FlowSettings",
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
