"""Actions returned by the handlers of balancers and agents."""

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
    """Deliver a packet to the backend server of this agent."""

    data: bytes


@attrs.define
class DeliverToCaller:
    """Deliver a packet of the backend server to the caller of `flow`."""

    flow: bytes
    data: bytes


@attrs.define
class ResetCaller:
    """Send a reset to the caller of `flow`, which was lost or refused.

    Parameters
    ----------
    sequence : int
        Sequence number that the caller expects next.
    """

    flow: bytes
    sequence: int


@attrs.define
class ConfirmMembers:
    """Ask the node to confirm that the list of members is complete.

    The node calls `BalancerSteering.handle_members_confirmed` once it has set every
    member published so far.
    """


@attrs.define
class Decision:
    """A decision to be logged.

    Parameters
    ----------
    step : str
        Kind of decision.
    flow : bytes
        Flow that the decision concerns; empty if none.
    outcome : str
        Result of the decision.
    inputs : mapping
        Values on which the decision is based.
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
