"""Events that the flow controller handles and actions that it returns."""

import attrs

from bramleystair.actions import Count, Send
from bramleystair.views import View
from bramleystair.wire import Message


# Per-packet events and actions are not frozen: this halves the time to create them.
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
    """The backend server refused packets of `flow` and no longer holds it."""

    flow: bytes


@attrs.frozen
class OutcomeObserved:
    """The backend server completed or shed a unit of work.

    Parameters
    ----------
    latency_s : float
        Time from the start to the outcome in seconds.
    is_shed : bool
        Whether the backend server refused the work because of overload.
    """

    latency_s: float
    is_shed: bool


@attrs.frozen
class LimitAdvised:
    """The load endpoint of the backend server requested a lower limit.

    Parameters
    ----------
    fraction : float
        Fraction of each cap; it never raises a limit.
    """

    fraction: float


@attrs.frozen
class ViewChanged:
    """The agent received a new view."""

    view: View


@attrs.frozen
class DrainRequested:
    """The agent's backend server is to be drained and takes no new work."""


@attrs.frozen
class Tick:
    """Periodic call of the timer service, every `TICK_PERIOD_S`."""


@attrs.define
class Deliver:
    """Deliver an inner packet of an owned flow to the backend server."""

    service_id: int
    flow: bytes
    packet: bytes


@attrs.frozen
class CloseFlow:
    """Release the delivery resources of a flow that has ended."""

    flow: bytes


@attrs.frozen
class ResetCaller:
    """Reset the flow at the caller.

    Parameters
    ----------
    flow : bytes
        Key of the flow, from caller to service.
    packet : bytes
        Packet of the caller from which the reset is built; empty if none is known.
    """

    flow: bytes
    packet: bytes


@attrs.frozen
class ResetServer:
    """Reset the flow at the backend server."""

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
