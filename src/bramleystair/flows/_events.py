"""Events that the flow controller takes and actions that it returns."""

import attrs

from bramleystair.actions import Count, Send
from bramleystair.views import View
from bramleystair.wire import Message


# Events and actions of single packets are not frozen, which halves their creation.
@attrs.define
class MessageArrived:
    """A message from the balancer or agent named `sender` arrived."""

    sender: str
    message: Message


@attrs.define
class OutboundPacketSent:
    """The backend server sent `packet` on one of the agent's flows."""

    flow: bytes
    packet: bytes


@attrs.frozen
class DeliveryFailed:
    """The backend server refused packets of `flow`: its half is gone."""

    flow: bytes


@attrs.frozen
class OutcomeObserved:
    """The backend server finished or shed a unit of work.

    Parameters
    ----------
    latency_s : float
        Time from start to outcome in seconds.
    is_shed : bool
        Whether the backend server refused the work as overload.
    """

    latency_s: float
    is_shed: bool


@attrs.frozen
class LimitAdvised:
    """The backend server's load endpoint asks for a lower limit.

    Parameters
    ----------
    fraction : float
        Fraction of each cap; it is never taken to raise a limit.
    """

    fraction: float


@attrs.frozen
class ViewChanged:
    """The agent holds a new view."""

    view: View


@attrs.frozen
class DrainRequested:
    """The agent's backend server is leaving; no new work from now on."""


@attrs.frozen
class Tick:
    """The timer service's periodic call, every `TICK_PERIOD_S`."""


@attrs.define
class Deliver:
    """Deliver an inner packet of an owned flow to the backend server."""

    service_id: int
    flow: bytes
    packet: bytes


@attrs.frozen
class CloseFlow:
    """Release what delivery holds for a flow that has ended."""

    flow: bytes


@attrs.frozen
class ResetCaller:
    """Tell the caller that the flow is gone.

    Parameters
    ----------
    flow : bytes
        Key of the flow, from caller to service.
    packet : bytes
        Last packet seen from the caller, from which the reset is built; empty if none.
    """

    flow: bytes
    packet: bytes


@attrs.frozen
class ResetServer:
    """Tell the backend server that the flow is gone."""

    flow: bytes
    packet: bytes


FlowEvent = (
    MessageArrived
    | OutboundPacketSent
    | DeliveryFailed
    | OutcomeObserved
    | LimitAdvised
    | ViewChanged
    | DrainRequested
    | Tick
)
FlowAction = Send | Count | Deliver | CloseFlow | ResetCaller | ResetServer
