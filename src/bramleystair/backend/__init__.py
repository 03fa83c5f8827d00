"""Protocols between an agent and its backend server."""

from bramleystair.backend._client import (
    BackendClient,
    BackendLoad,
    Failed,
    Responded,
    RunOutcome,
    Shed,
)
from bramleystair.backend._delivery import Delivery, ReplyHandler, UdpDelivery
from bramleystair.backend._tun import TunDelivery, open_tun

__all__ = [
    "BackendClient",
    "BackendLoad",
    "Delivery",
    "Failed",
    "Responded",
    "ReplyHandler",
    "RunOutcome",
    "Shed",
    "TunDelivery",
    "UdpDelivery",
    "open_tun",
]
