"""Actions that the steering decisions return."""

from collections.abc import Mapping

import attrs

from bramleystair.actions import Count, Observe
from bramleystair.steering._messages import Message
from bramleystair.steering._types import Address


@attrs.define
class SendMessage:
    """Send `message` to the node at `address`."""

    address: Address
    message: Message


@attrs.define
class DeliverToServer:
    """Pass a packet to the backend server beside this agent."""

    data: bytes


@attrs.define
class DeliverToCaller:
    """Pass a packet of the backend server to the caller of `flow`."""

    flow: bytes
    data: bytes


@attrs.define
class ResetCaller:
    """Tell the caller of `flow` that its flow is gone or was refused.

    Parameters
    ----------
    sequence : int
        Sequence number that the caller expects next.
    """

    flow: bytes
    sequence: int


@attrs.define
class ConfirmMembers:
    """Ask whether the members known are all that there are.

    The answer is `BalancerSteering.confirm_members`, once every member published until
    now was set.
    """


@attrs.define
class Decision:
    """A decision to be logged.

    Parameters
    ----------
    step : str
        What was decided.
    flow : bytes
        Flow concerned; empty without any.
    outcome : str
        Result of the decision.
    inputs : mapping
        Values that decided it.
    """

    step: str
    flow: bytes
    outcome: str
    inputs: Mapping[str, object] = attrs.field(factory=dict)


Action = (
    SendMessage
    | DeliverToServer
    | DeliverToCaller
    | ResetCaller
    | ConfirmMembers
    | Decision
    | Count
    | Observe
)
