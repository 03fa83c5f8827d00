"""Collection of the actions that one event calls for."""

from bramleystair.actions import Count, Send
from bramleystair.flows._events import FlowAction
from bramleystair.wire import FlowQuery, Forward, Message, RedirectPut


class Outbox:
    """Collect actions until the controller returns them."""

    def __init__(self) -> None:
        self._actions: list[FlowAction] = []
        self.blocked: frozenset[str] = frozenset()

    def add(self, action: FlowAction) -> None:
        """Append an action."""
        self._actions.append(action)

    def send(self, peer: str, message: Message) -> None:
        """Append the sending of a message.

        Servers in an availability zone that is out of service are sent answers only,
        which their agents need until they hold the mark themselves.
        """
        if peer in self.blocked and not _is_answer(message):
            self.count("message_dropped", "zone_out")
            return
        self._actions.append(Send(peer, message))

    def count(self, name: str, reason: str, amount: int = 1) -> None:
        """Append the raising of a counter."""
        self._actions.append(Count(name, reason, amount))

    def take(self) -> list[FlowAction]:
        """Return the collected actions and start over."""
        actions = self._actions
        self._actions = []
        return actions


def _is_answer(message: Message) -> bool:
    if isinstance(message, RedirectPut):
        return message.is_reply
    return not isinstance(message, (Forward, FlowQuery))
