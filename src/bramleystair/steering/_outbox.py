"""Actions collected while an event is handled."""

from bramleystair.actions import Count, Observe
from bramleystair.steering._events import Action, Decision, ResetCaller, SendMessage
from bramleystair.steering._messages import Message
from bramleystair.steering._segments import Segment
from bramleystair.steering._types import Address


class Outbox:
    """Collect actions until they are taken."""

    def __init__(self) -> None:
        self._actions: list[Action] = []
        # Version of the configuration that decides, part of each log line.
        self.version = 0

    def add(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def send(self, address: Address, message: Message) -> None:
        """Send `message` to the node at `address`."""
        self._actions.append(SendMessage(address, message))

    def count(self, name: str, reason: str) -> None:
        """Raise a counter by one."""
        self._actions.append(Count(name, reason))

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        self._actions.append(Observe(name, seconds))

    def log(self, step: str, flow: bytes, outcome: str, **inputs: object) -> None:
        """Log a decision."""
        fields = {"version": self.version, **inputs} if self.version else inputs
        self._actions.append(Decision(step, flow, outcome, fields))

    def reset_caller(self, segment: Segment, reason: str, **inputs: object) -> None:
        """Reset the sender of a caller's packet."""
        # Before the flow opened, any number is accepted; later the caller expects
        # the one that it acknowledged last.
        self._actions.append(ResetCaller(segment.flow, segment.acknowledgement))
        self.log("reset", segment.flow, reason, **inputs)

    def take(self) -> list[Action]:
        """Return the actions and begin anew."""
        actions, self._actions = self._actions, []
        return actions
