"""Actions common to all state machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    # Imported for types only: processes without messages do not load the codec.
    from bramleystair.wire import Message


@attrs.frozen
class Send:
    """Send a message to the node or backend server's agent named `peer`."""

    peer: str
    message: Message


@attrs.frozen
class Count:
    """Increment the counter `name` with the label `reason` by `amount`."""

    name: str
    reason: str
    amount: int = 1


@attrs.frozen
class Observe:
    """Record a duration in the histogram `name`."""

    name: str
    seconds: float
