"""Messages between balancers and agents, and their encoding.

Messages have a fixed layout that is packed with `struct`: a carried packet follows
unchanged after a header of a few bytes, and the processes stay small enough for VMs
with a hundred megabytes of memory.
"""

import enum
import math
import struct
from collections.abc import Sequence

import attrs
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.steering._types import Load, ServerState, Urgency

# Tokens are encoded as 32-bit integers.
TOKEN_MODULUS = 2**32


class Refusal(enum.IntEnum):
    """Reason for which an agent did not admit a new flow."""

    NONE = 0
    UNKNOWN_SERVER = 1
    WRONG_SERVICE = 2
    DRAINING = 3
    COLD = 4
    BUSY = 5
    SILENT = 6
    RETURNED = 7
    STOPPING = 8
    NO_ANSWER = 9
    FAILING = 10


class Ownership(enum.IntEnum):
    """An agent's answer to a lookup.

    `UNSURE` asks for a packet of the flow, which the server returns if it does not hold
    the flow. `LIKELY` means that the server has not returned the packet in time. `NONE`
    denies the flow by an estimate. The others from `RETURNED` on deny it on evidence:
    the reset of a caller may rest on them, see `steering._reset_evidence`.

    A node of an earlier version drops these as malformed, so that its lookup ends
    unanswered, without a reset.
    """

    NONE = 0
    LIKELY = 1
    CERTAIN = 2
    UNSURE = 3
    # The server has returned a packet of the flow.
    RETURNED = 4
    # Nobody listens at the server's address.
    SERVER_ABSENT = 5
    # This process found nobody there before the server started.
    SEEN_START = 6
    # The first report of the server reached this process.
    FIRST_REPORT = 7
    # This process has run for the lifetime of a flow.
    LIFETIME_PASSED = 8
    # The caller of a half-open flow acknowledged another server.
    OTHER_SERVER = 9

    @property
    def is_evidence(self) -> bool:
        """Whether it denies the flow on evidence."""
        return self >= Ownership.RETURNED


@attrs.define
class OpenFlow:
    """Ask an agent to admit a new flow; carries the caller's first packet.

    Parameters
    ----------
    token : int
        Identifier of the attempt, repeated in the reply.
    service_id : int
        Service to which the flow is routed.
    cold_rate : float
        New flows per second that a cold server of the service can take; 0 for no limit.
    urgency : Urgency
        Urgency of the flow.
    waiting : Urgency or None
        Urgency of the most urgent flow that waits at the sender for this service.
    is_last_resort : bool
        Whether the sender knows that the agent refuses new flows as failing, and asks
        it because too few others are sound.
    objective_s : float
        Response time up to which a response is in time; 0 if unknown.
    waited_s : float
        Time since the caller first sent the packet, as far as known.
    """

    token: int
    service_id: int
    cold_rate: float
    urgency: Urgency
    waiting: Urgency | None
    data: bytes
    is_last_resort: bool = False
    objective_s: float = 0.0
    waited_s: float = 0.0


@attrs.define
class OpenReply:
    """Report whether a flow was admitted.

    A refusal may follow an acceptance, for example if the server returns the packet.
    """

    token: int
    refusal: Refusal
    load: Load


@attrs.define
class Relay:
    """Forward a packet to the owner of its flow."""

    data: bytes


@attrs.define
class LookupRequest:
    """Ask an agent whether its server holds a flow.

    Parameters
    ----------
    acknowledgement : int
        Sequence number that the caller acknowledged last. It tells whether a half-open
        flow belongs to another server.
    """

    token: int
    flow: bytes
    acknowledgement: int


@attrs.define
class LookupProbe:
    """Ask an agent that answered `UNSURE` to deliver this packet to its server.

    The server returns the packet if it does not hold the flow.
    """

    token: int
    data: bytes


@attrs.define
class LookupReply:
    """Answer a lookup request or probe."""

    token: int
    ownership: Ownership


@attrs.define
class ReturnPacket:
    """Send back a packet whose flow the agent's server does not hold."""

    data: bytes


@attrs.define
class FlowLost:
    """Tell that a server returned a packet, before the `ReturnPacket` that carries it.

    An agent also returns packets that it does not pass to its server; these say nothing
    about what the server holds.

    Parameters
    ----------
    acknowledgement : int
        Acknowledgement number of the packet, which tells the flow from another one of
        the same addresses and ports.
    """

    flow: bytes
    acknowledgement: int


@attrs.define
class Subscribe:
    """Subscribe to the load reports of an agent for the next seconds.

    Parameters
    ----------
    rules_version : int
        Version of the configuration in force at the sender.
    """

    rules_version: int = 0


@attrs.define
class LoadReport:
    """Report the load of an agent's server.

    Parameters
    ----------
    rules_version : int
        Highest version of the configuration in force at any subscriber.
    """

    load: Load
    rules_version: int = 0


@attrs.define
class StoreRestored:
    """Tell an agent that the store was restored from an older copy.

    Parameters
    ----------
    epoch : int
        Epoch of the store at the sender.
    """

    epoch: int


@attrs.define
class EntryChanged:
    """Tell an agent that its entry in the store has changed or is missing.

    Sent for every change, since only the agent knows which changes are its own.

    Parameters
    ----------
    epoch : int
        Epoch of the store in which the change was seen; 0 if unknown.
    revision : int
        Revision of the changed entry, or store revision at which it was missing.
    """

    epoch: int
    revision: int
    is_missing: bool = False


@attrs.define
class EntryWithdrawn:
    """Tell that the agent has no entry, as its server has left.

    Answers `EntryChanged`, and is sent to all subscribers when the entry is withdrawn.
    """


@attrs.define
class OfferSlot:
    """Offer a reserved slot of a server to a balancer that found the server busy."""


@attrs.define
class DeclineSlot:
    """Decline an offered slot because no first packet waits for it."""


Message = (
    OpenFlow
    | OpenReply
    | Relay
    | LookupRequest
    | LookupProbe
    | LookupReply
    | ReturnPacket
    | FlowLost
    | Subscribe
    | LoadReport
    | StoreRestored
    | EntryChanged
    | EntryWithdrawn
    | OfferSlot
    | DeclineSlot
)

_OPEN_FLOW = struct.Struct("!BIQfBB")
# Whether it is a last resort, objective and time waited. Follows the layout above in
# messages of the kind `OPEN_TIMED`, so that nodes without the request gate understand
# each other across versions.
_OPEN_TIMES = struct.Struct("!?ff")
_OPEN_REPLY = struct.Struct("!BIB")
_LOOKUP_REQUEST = struct.Struct("!BI12sI")
_LOOKUP_PROBE = struct.Struct("!BI")
_LOOKUP_REPLY = struct.Struct("!BIB")
_SUBSCRIBE = struct.Struct("!BQ")
_LOAD_REPORT = struct.Struct("!BQ")
_STORE_RESTORED = struct.Struct("!BQ")
_ENTRY_CHANGED = struct.Struct("!BQQ?")
_FLOW_LOST = struct.Struct("!B12sI")
_LOAD = struct.Struct("!BHHfHf???")
# Pace, and whether the server fails. Follows the load if either is set, so that nodes
# without these options understand each other across versions.
_SERVER_CONDITION = struct.Struct("!f?")
_STATES = tuple(ServerState)
# First byte of each encoded message.
(
    OPEN_FLOW,
    OPEN_REPLY,
    RELAY,
    LOOKUP_REQUEST,
    LOOKUP_REPLY,
    RETURN_PACKET,
    SUBSCRIBE,
    LOAD_REPORT,
    LOOKUP_PROBE,
) = range(1, 10)
# First byte of a datagram of several short messages, each preceded by its length.
BUNDLE = 10
OFFER_SLOT, DECLINE_SLOT, STORE_RESTORED = 11, 12, 13
ENTRY_CHANGED, ENTRY_WITHDRAWN, FLOW_LOST = 14, 15, 16
# A new flow that asks a failing member as a last resort.
OPEN_LAST_RESORT = 17
# A new flow with the times that the request gate uses.
OPEN_TIMED = 18
_MAX_U16 = 0xFFFF
# An urgency is encoded in one byte: a bit for late flows, and the priority.
_LATE, _MAX_PRIORITY, _NO_URGENCY = 0x80, 0x7E, 0xFF


def encode_message(message: Message) -> bytes:
    """Return the datagram that carries `message`."""
    match message:
        case Relay(data):
            return b"\x03" + data
        case OpenFlow():
            return _encode_open(message)
        case OpenReply(token, refusal, load):
            return _OPEN_REPLY.pack(OPEN_REPLY, token, refusal) + _encode_load(load)
        case LookupRequest(token, flow, acknowledgement):
            return _LOOKUP_REQUEST.pack(LOOKUP_REQUEST, token, flow, acknowledgement)
        case LookupProbe(token, data):
            return _LOOKUP_PROBE.pack(LOOKUP_PROBE, token) + data
        case LookupReply(token, ownership):
            return _LOOKUP_REPLY.pack(LOOKUP_REPLY, token, ownership)
        case ReturnPacket(data):
            return b"\x06" + data
        case Subscribe(rules_version):
            return _SUBSCRIBE.pack(SUBSCRIBE, rules_version)
        case LoadReport(load, rules_version):
            return _LOAD_REPORT.pack(LOAD_REPORT, rules_version) + _encode_load(load)
        case StoreRestored(epoch):
            return _STORE_RESTORED.pack(STORE_RESTORED, epoch)
        case EntryChanged(epoch, revision, is_missing):
            return _ENTRY_CHANGED.pack(ENTRY_CHANGED, epoch, revision, is_missing)
        case EntryWithdrawn():
            return bytes((ENTRY_WITHDRAWN,))
        case FlowLost(flow, acknowledgement):
            return _FLOW_LOST.pack(FLOW_LOST, flow, acknowledgement)
        case OfferSlot():
            return bytes((OFFER_SLOT,))
        case DeclineSlot():
            return bytes((DECLINE_SLOT,))


def encode_bundle(messages: Sequence[bytes]) -> bytes:
    """Return one datagram for several encoded messages of at most 255 bytes each."""
    if len(messages) == 1:
        return messages[0]
    parts = (bytes((len(message),)) + message for message in messages)
    return bytes((BUNDLE,)) + b"".join(parts)


def split_bundle(data: bytes) -> Result[tuple[bytes, ...], StepError]:
    """Return the encoded messages in a datagram, bundled or not.

    Returns
    -------
    Result of tuple of bytes or StepError
        The error reports a bundle that is truncated within a message.
    """
    if data[:1] != bytes((BUNDLE,)):
        return Ok((data,))
    messages, start = [], 1
    while start < len(data):
        end = start + 1 + data[start]
        if end > len(data):
            return Err(StepError("split bundle", "", "truncated within a message"))
        messages.append(data[start + 1 : end])
        start = end
    return Ok(tuple(messages))


def decode_message(data: bytes) -> Result[Message, StepError]:
    """Return the message in a datagram.

    Returns
    -------
    Result of Message or StepError
        The error reports an unknown kind, a wrong length or a value out of range.
    """
    try:
        return Ok(_decode(data))
    except (struct.error, ValueError, IndexError) as error:
        return Err(StepError("decode message", "", str(error)))


def _decode(data: bytes) -> Message:
    kind = data[0]
    if kind == RELAY:
        return Relay(data[1:])
    if kind in (OPEN_FLOW, OPEN_LAST_RESORT, OPEN_TIMED):
        return _decode_open(data)
    if kind == OPEN_REPLY:
        _, token, refusal = _OPEN_REPLY.unpack_from(data)
        return OpenReply(token, Refusal(refusal), _decode_load(data, _OPEN_REPLY.size))
    if kind == LOOKUP_REQUEST:
        return LookupRequest(*_LOOKUP_REQUEST.unpack(data)[1:])
    if kind == LOOKUP_PROBE:
        _, token = _LOOKUP_PROBE.unpack_from(data)
        return LookupProbe(token, data[_LOOKUP_PROBE.size :])
    if kind == LOOKUP_REPLY:
        _, token, ownership = _LOOKUP_REPLY.unpack(data)
        return LookupReply(token, Ownership(ownership))
    if kind == RETURN_PACKET:
        return ReturnPacket(data[1:])
    if kind == SUBSCRIBE:
        return Subscribe(_SUBSCRIBE.unpack(data)[1])
    if kind == LOAD_REPORT:
        version = _LOAD_REPORT.unpack_from(data)[1]
        return LoadReport(_decode_load(data, _LOAD_REPORT.size), version)
    if kind == STORE_RESTORED:
        return StoreRestored(_STORE_RESTORED.unpack(data)[1])
    if kind == ENTRY_CHANGED:
        return EntryChanged(*_ENTRY_CHANGED.unpack(data)[1:])
    if kind == FLOW_LOST:
        return FlowLost(*_FLOW_LOST.unpack(data)[1:])
    if data == bytes((ENTRY_WITHDRAWN,)):
        return EntryWithdrawn()
    if data == bytes((OFFER_SLOT,)):
        return OfferSlot()
    if data == bytes((DECLINE_SLOT,)):
        return DeclineSlot()
    raise ValueError(f"unknown message kind {kind}")


def _encode_open(message: OpenFlow) -> bytes:
    is_timed = bool(message.objective_s or message.waited_s)
    kind = OPEN_LAST_RESORT if message.is_last_resort else OPEN_FLOW
    head = _OPEN_FLOW.pack(
        OPEN_TIMED if is_timed else kind,
        message.token,
        message.service_id,
        message.cold_rate,
        _encode_urgency(message.urgency),
        _encode_urgency(message.waiting),
    )
    if is_timed:
        head += _OPEN_TIMES.pack(
            message.is_last_resort, message.objective_s, message.waited_s
        )
    return head + message.data


def _decode_open(data: bytes) -> OpenFlow:
    kind, token, service_id, cold_rate, *urgencies = _OPEN_FLOW.unpack_from(data)
    urgency, waiting = map(_decode_urgency, urgencies)
    if urgency is None:
        raise ValueError("new flow without an urgency")
    end = _OPEN_FLOW.size
    is_last, times_s = kind == OPEN_LAST_RESORT, (0.0, 0.0)
    if kind == OPEN_TIMED:
        is_last, *times_s = _OPEN_TIMES.unpack_from(data, end)
        end += _OPEN_TIMES.size
    _check_finite(cold_rate, *times_s)
    return OpenFlow(
        token, service_id, cold_rate, urgency, waiting, data[end:], is_last, *times_s
    )


def _encode_urgency(urgency: Urgency | None) -> int:
    if urgency is None:
        return _NO_URGENCY
    late_bit = _LATE if urgency.is_late else 0
    return late_bit | min(urgency.priority, _MAX_PRIORITY)


def _decode_urgency(value: int) -> Urgency | None:
    if value == _NO_URGENCY:
        return None
    return Urgency(bool(value & _LATE), value & ~_LATE)


def _encode_load(load: Load) -> bytes:
    data = _LOAD.pack(
        _STATES.index(load.state),
        min(load.slots, _MAX_U16),
        min(load.running, _MAX_U16),
        load.mean_running,
        min(load.flows, _MAX_U16),
        load.service_s,
        load.is_cold,
        load.is_accepting,
        load.is_stopping,
    )
    if not (load.pace or load.is_failing):
        return data
    return data + _SERVER_CONDITION.pack(load.pace, load.is_failing)


def _decode_load(data: bytes, offset: int) -> Load:
    end = offset + _LOAD.size
    if len(data) not in (end, end + _SERVER_CONDITION.size):
        raise ValueError("wrong length of a message with a load")
    state, *fields = _LOAD.unpack_from(data, offset)
    pace, is_failing = 0.0, False
    if len(data) > end:
        pace, is_failing = _SERVER_CONDITION.unpack_from(data, end)
    load = Load(_STATES[state], *fields, is_failing, pace)
    _check_finite(load.mean_running, load.service_s)
    if not 0 <= pace <= 1:
        raise ValueError(f"{pace} is not a pace from 0 to 1")
    return load


def _check_finite(*numbers: float) -> None:
    for number in numbers:
        if not 0 <= number < math.inf:
            raise ValueError(f"{number} is not a finite number of at least 0")
