"""Actions common to all decision state machines."""

import attrs

from bramleystair.wire import Message


@attrs.frozen
class Send:
    """Send a message to the node or backend server's agent named `peer`."""

    peer: str
    message: Message


@attrs.frozen
class Count:
    """Raise the counter `name` with the label `reason` by `amount`."""

    name: str
    reason: str
    amount: int = 1
