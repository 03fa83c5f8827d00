"""Conversion between typed messages and Cap'n Proto bytes."""

import functools
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
    try:
        with _schema.Envelope.from_bytes(data) as envelope:
            return Ok(_read_envelope(envelope))
    except (capnp.KjException, ValueError, LookupError) as error:
        detail = str(error).splitlines()[0] if str(error) else type(error).__name__
        return Err(StepError("decode message", peer, detail))


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
