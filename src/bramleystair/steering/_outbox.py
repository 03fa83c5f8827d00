"""Buffer of the actions that result from an event.

The steering logic of balancers and agents each uses one; the node that calls the logic
carries out the actions.
"""

from bramleystair.actions import Count, Observe
from bramleystair.steering._actions import Action, Decision, ResetCaller, SendMessage
from bramleystair.steering._messages import Message
from bramleystair.steering._segments import Segment
from bramleystair.steering._types import Address


class Outbox:
    """Collect the actions of a handler, which takes and returns them when it ends."""

    def __init__(self) -> None:
        self._actions: list[Action] = []
        # Version of the configuration in force, added to each log line; 0 omits it.
        self.version = 0

    def add(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def send(self, address: Address, message: Message) -> None:
        """Add the action to send `message` to the node at `address`."""
        self._actions.append(SendMessage(address, message))

    def count(self, name: str, reason: str) -> None:
        """Add the action to increment a counter."""
        self._actions.append(Count(name, reason))

    def observe(self, name: str, seconds: float) -> None:
        """Add the action to record a duration in a histogram."""
        self._actions.append(Observe(name, seconds))

    def log(self, step: str, flow: bytes, outcome: str, **inputs: object) -> None:
        """Add the action to log a decision."""
        fields = {"version": self.version, **inputs} if self.version else inputs
        self._actions.append(Decision(step, flow, outcome, fields))

    def reset_caller(self, segment: Segment, reason: str, **inputs: object) -> None:
        """Add the actions to reset the caller of `segment` and to log the reason."""
        # Before the flow is established, a caller accepts a reset with any sequence
        # number; after that, with the one that it acknowledged last.
        self._actions.append(ResetCaller(segment.flow, segment.acknowledgement))
        self.log("reset", segment.flow, reason, **inputs)

    def take(self) -> list[Action]:
        """Return the collected actions and clear the buffer."""
        actions, self._actions = self._actions, []
        return actions
