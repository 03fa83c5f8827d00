"""Actions common to all decision state machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    # The message codec is not loaded by processes that do not use it.
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


@attrs.frozen
class Observe:
    """Add a duration to the histogram `name`."""

    name: str
    seconds: float
