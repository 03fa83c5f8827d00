"""Conversion between typed messages and Cap'n Proto bytes."""

import functools
import struct
import typing
from pathlib import Path

import attrs
import capnp
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.wire import _messages
from bramleystair.wire._messages import Envelope, Forward, Message

# The schema is loaded explicitly, without the import hook that searches sys.path.
capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))
_new_envelope = _schema.Envelope.new_message

# A datagram holds at most 65,507 bytes; request messages on TCP are bounded by the
# reader of the stream, and the traversal limit of the library bounds the rest.
MAX_DATAGRAM_BYTES = 65_507

# Some packet lengths for each service; a version change leaves old entries to expire.
PREFIX_CACHE_SIZE = 16_384
PADDING = tuple(bytes(-size % 8) for size in range(8))

# Layout of a forward as the library writes it: the envelope (incarnation, kind, two
# pointers), the sender's text, the body (service, version, flags, two pointers), the
# flow and the packet. Pointers are as in the Cap'n Proto encoding: a list of bytes has
# kind 1 and element size 2, and the length is in the upper bits.
_ENVELOPE_START = struct.Struct("<IIQQQQQ")
_BODY_STRUCT = struct.Struct("<QQQQQ")
_ENVELOPE_BYTES = _ENVELOPE_START.size
_FORWARD_MIN_BYTES = _ENVELOPE_BYTES + _BODY_STRUCT.size
_OFFSET_SHIFT = 2
_LENGTH_SHIFT = 35
_LOW_BITS = (1 << _LENGTH_SHIFT) - 1
_ROOT = 2 << 32 | 2 << 48
_BODY = 3 << 32 | 2 << 48
_BYTE_LIST = 2 << 32 | 1
_FIRST_BYTE_LIST = _BYTE_LIST + (1 << _OFFSET_SHIFT)
_HOPS_MASK = 0xFF
_FLAGS_MASK = 0x1FF


@attrs.frozen
class _Field:
    name: str
    wire_name: str
    element: type | None
    is_list: bool


def encode(sender: str, incarnation: int, message: Message) -> bytes:
    """Return the bytes of `message` in an envelope."""
    if isinstance(message, Forward):
        return encode_forward(sender, incarnation, message)
    envelope = _new_envelope(sender=sender, incarnation=incarnation)
    body = envelope.init(_get_union_name(type(message)))
    body.from_dict(_build_dict(message))
    return envelope.to_bytes()


def encode_forward(sender: str, incarnation: int, message: Forward) -> bytes:
    """Return the bytes of a forward; separate because it is sent for each packet."""
    flow, packet = message.flow, message.packet
    prefix = build_forward_prefix(
        sender,
        incarnation,
        message.service_id,
        message.table_version,
        message.hops,
        message.place,
        len(flow),
        len(packet),
    )
    return b"".join(
        (prefix, flow, PADDING[len(flow) & 7], packet, PADDING[len(packet) & 7])
    )


@functools.lru_cache(maxsize=PREFIX_CACHE_SIZE)
def build_forward_prefix(
    sender: str,
    incarnation: int,
    service_id: int,
    table_version: int,
    hops: int,
    place: bool,
    flow_bytes: int,
    packet_bytes: int,
) -> bytes:
    """Return what precedes flow and packet in the bytes of a forward.

    The library places flow and packet last, each padded to 8 bytes, so everything
    before them is the same for all packets of one length.
    """
    envelope = _new_envelope()
    envelope.sender = sender
    envelope.incarnation = incarnation
    body = envelope.init("forward")
    body.serviceId = service_id
    body.tableVersion = table_version
    body.flow = bytes(flow_bytes)
    body.hops = hops
    body.place = place
    body.packet = bytes(packet_bytes)
    data = envelope.to_bytes()
    return data[: len(data) - _round_up(flow_bytes) - _round_up(packet_bytes)]


def _round_up(size: int) -> int:
    return (size + 7) & ~7


def decode(data: bytes, peer: str = "") -> Result[Envelope, StepError]:
    """Return the envelope in `data`.

    Parameters
    ----------
    data : bytes
        A whole message.
    peer : str
        Where it came from, for the error.

    Returns
    -------
    Result of Envelope or StepError
        The error covers truncated, malformed and unknown messages.
    """
    envelope = _read_forward(data)
    if envelope is not None:
        return Ok(envelope)
    try:
        with _schema.Envelope.from_bytes(data) as envelope:
            return Ok(_read_envelope(envelope))
    except (capnp.KjException, ValueError, LookupError) as error:
        detail = str(error).splitlines()[0] if str(error) else type(error).__name__
        return Err(StepError("decode message", peer, detail))


def _read_forward(data: bytes) -> Envelope | None:
    """Return the envelope of a forward in the library's own layout.

    Anything else, valid or not, gives None and is left to the library. Pointers are
    compared with the only values that they have in that layout, so lengths that do not
    fit the data are never followed.
    """
    if len(data) < _FORWARD_MIN_BYTES:
        return None
    segments, words, root, incarnation, kind, sender_pointer, body_pointer = (
        _ENVELOPE_START.unpack_from(data)
    )
    if segments or 8 * words + 8 != len(data) or root != _ROOT or kind:
        return None
    sender_bytes = sender_pointer >> _LENGTH_SHIFT
    sender_words = (sender_bytes + 7) >> 3
    body = _ENVELOPE_BYTES + 8 * sender_words
    if (
        not sender_bytes
        or sender_pointer & _LOW_BITS != _FIRST_BYTE_LIST
        or body_pointer != _BODY | sender_words << _OFFSET_SHIFT
        or body + _BODY_STRUCT.size > len(data)
    ):
        return None
    service_id, version, flags, flow_pointer, packet_pointer = _BODY_STRUCT.unpack_from(
        data, body
    )
    flow = body + _BODY_STRUCT.size
    flow_bytes = flow_pointer >> _LENGTH_SHIFT
    flow_words = (flow_bytes + 7) >> 3
    packet = flow + 8 * flow_words
    packet_bytes = packet_pointer >> _LENGTH_SHIFT
    if (
        flow_pointer & _LOW_BITS != _FIRST_BYTE_LIST
        or packet_pointer & _LOW_BITS != _BYTE_LIST + (flow_words << _OFFSET_SHIFT)
        or packet + ((packet_bytes + 7) & ~7) != len(data)
        or flags & ~_FLAGS_MASK
        or data[_ENVELOPE_BYTES + sender_bytes - 1]
    ):
        return None
    try:
        sender = data[_ENVELOPE_BYTES : _ENVELOPE_BYTES + sender_bytes - 1].decode()
    except UnicodeDecodeError:
        return None
    message = Forward(
        service_id,
        version,
        data[flow : flow + flow_bytes],
        flags & _HOPS_MASK,
        flags > _HOPS_MASK,
        data[packet : packet + packet_bytes],
    )
    return Envelope(sender, incarnation, message)


def _read_envelope(envelope) -> Envelope:
    union_name = str(envelope.which())
    body = getattr(envelope, union_name)
    if union_name == "forward":
        message = Forward(
            body.serviceId,
            body.tableVersion,
            body.flow,
            body.hops,
            body.place,
            body.packet,
        )
    else:
        message = _read_message(_get_message_types()[union_name], body)
    return Envelope(envelope.sender, envelope.incarnation, message)


def _read_message(kind: type, body):
    values = {}
    for field in _list_fields(kind):
        value = getattr(body, field.wire_name)
        if field.is_list:
            value = tuple(_read_element(field.element, item) for item in value)
        values[field.name] = value
    return kind(**values)


def _read_element(element: type | None, item):
    return item if element is None else _read_message(element, item)


def _build_dict(message) -> dict:
    values = {}
    for field in _list_fields(type(message)):
        value = getattr(message, field.name)
        if field.is_list:
            value = [
                item if field.element is None else _build_dict(item) for item in value
            ]
        values[field.wire_name] = value
    return values


@functools.cache
def _list_fields(kind: type) -> tuple[_Field, ...]:
    fields = []
    for name, annotation in typing.get_type_hints(kind).items():
        is_list = typing.get_origin(annotation) is tuple
        element = typing.get_args(annotation)[0] if is_list else None
        if element is not None and not attrs.has(element):
            element = None
        fields.append(_Field(name, _to_camel_case(name), element, is_list))
    return tuple(fields)


@functools.cache
def _get_union_name(kind: type) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


@functools.cache
def _get_message_types() -> dict[str, type]:
    return {_get_union_name(kind): kind for kind in typing.get_args(_messages.Message)}


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)
