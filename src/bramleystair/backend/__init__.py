"""Protocols with the backend server beside an agent."""

from bramleystair.backend._delivery import Delivery, ReplyHandler, UdpDelivery
from bramleystair.backend._tun import TunDelivery, open_tun

__all__ = ["Delivery", "ReplyHandler", "TunDelivery", "UdpDelivery", "open_tun"]
