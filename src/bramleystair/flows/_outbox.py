"""Buffer of the actions that result from one event."""

from bramleystair.actions import Count, Send
from bramleystair.flows._events import FlowAction
from bramleystair.wire import FlowQuery, Forward, Message, RedirectPut


class Outbox:
    """Buffer actions until the controller returns them."""

    def __init__(self) -> None:
        self._actions: list[FlowAction] = []
        self.zone_out_servers: frozenset[str] = frozenset()

    def add(self, action: FlowAction) -> None:
        """Append an action."""
        self._actions.append(action)

    def send(self, peer: str, message: Message) -> None:
        """Append an action that sends a message.

        Servers in an availability zone that is out of service get replies only. Their
        agents need them until they hold the zone mark themselves.
        """
        if peer in self.zone_out_servers and not _is_reply(message):
            self.count("message_dropped", "zone_out")
            return
        self._actions.append(Send(peer, message))

    def count(self, name: str, reason: str, amount: int = 1) -> None:
        """Append an action that increments a counter."""
        self._actions.append(Count(name, reason, amount))

    def flush(self) -> list[FlowAction]:
        """Return the buffered actions and empty the buffer."""
        actions = self._actions
        self._actions = []
        return actions


def _is_reply(message: Message) -> bool:
    if isinstance(message, RedirectPut):
        return message.is_reply
    return not isinstance(message, (Forward, FlowQuery))
