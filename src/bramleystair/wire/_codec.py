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

# The schema is loaded from its path; the import hook would search sys.path for it.
capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))
_new_envelope = _schema.Envelope.new_message

# Largest payload of a UDP datagram over IPv4. Messages over TCP are limited by the
# frame length in _stream.py, and any message by Cap'n Proto's traversal limit.
MAX_DATAGRAM_BYTES = 65_507

# Envelopes of forwards are cached, as they differ only by sender, service, table
# version, length of the flow key, hop count and placement flag.
FORWARD_CACHE_SIZE = 16_384
_LENGTH = struct.Struct("!I")


@attrs.frozen
class _Field:
    name: str
    wire_name: str
    element_type: type | None
    is_list: bool


@attrs.frozen
class _ForwardEnvelope:
    sender: str
    incarnation: int
    service_id: int
    table_version: int
    flow_bytes: int
    hops: int
    place: bool


_forward_envelope_cache: dict[bytes, _ForwardEnvelope] = {}


def encode(sender: str, incarnation: int, message: Message) -> bytes:
    """Return the bytes of `message` in an envelope."""
    if isinstance(message, Forward):
        return encode_forward(sender, incarnation, message)
    envelope = _new_envelope(sender=sender, incarnation=incarnation)
    body = envelope.init(_get_union_name(type(message)))
    body.from_dict(_build_dict(message))
    return _add_length_prefix(envelope.to_bytes())


def encode_forward(sender: str, incarnation: int, message: Forward) -> bytes:
    """Return the bytes of a forward; a fast path, as one is sent for each packet."""
    flow = message.flow
    prefix = _encode_forward_envelope(
        sender,
        incarnation,
        message.service_id,
        message.table_version,
        len(flow),
        message.hops,
        message.place,
    )
    return prefix + flow + message.packet


@functools.lru_cache(maxsize=FORWARD_CACHE_SIZE)
def _encode_forward_envelope(
    sender: str,
    incarnation: int,
    service_id: int,
    table_version: int,
    flow_bytes: int,
    hops: int,
    place: bool,
) -> bytes:
    envelope = _new_envelope(sender=sender, incarnation=incarnation)
    body = envelope.init("forward")
    body.serviceId = service_id
    body.tableVersion = table_version
    body.flowBytes = flow_bytes
    body.hops = hops
    body.place = place
    return _add_length_prefix(envelope.to_bytes())


def _add_length_prefix(envelope: bytes) -> bytes:
    return _LENGTH.pack(len(envelope)) + envelope


def decode(data: bytes, peer: str = "") -> Result[Envelope, StepError]:
    """Return the envelope in `data`.

    Parameters
    ----------
    data : bytes
        A complete message.
    peer : str
        Sender of the message, for the error.

    Returns
    -------
    Result of Envelope or StepError
        The error covers truncated, malformed and unknown messages.
    """
    if len(data) < _LENGTH.size:
        return Err(StepError("decode message", peer, "truncated in the length field"))
    end = _LENGTH.size + _LENGTH.unpack_from(data)[0]
    if end > len(data):
        return Err(StepError("decode message", peer, "truncated in the envelope"))
    try:
        envelope = _decode_envelope(data[_LENGTH.size : end])
    except (capnp.KjException, ValueError, LookupError) as error:
        detail = str(error).splitlines()[0] if str(error) else type(error).__name__
        return Err(StepError("decode message", peer, detail))
    if isinstance(envelope, _ForwardEnvelope):
        return _read_forward(envelope, data, end, peer)
    if end < len(data):
        return Err(
            StepError("decode message", peer, "trailing bytes after the envelope")
        )
    return Ok(envelope)


def _read_forward(
    envelope: _ForwardEnvelope, data: bytes, flow_start: int, peer: str
) -> Result[Envelope, StepError]:
    packet_start = flow_start + envelope.flow_bytes
    if packet_start > len(data):
        return Err(StepError("decode message", peer, "truncated in the flow key"))
    message = Forward(
        envelope.service_id,
        envelope.table_version,
        data[flow_start:packet_start],
        envelope.hops,
        envelope.place,
        data[packet_start:],
    )
    return Ok(Envelope(envelope.sender, envelope.incarnation, message))


def _decode_envelope(data: bytes) -> Envelope | _ForwardEnvelope:
    cached = _forward_envelope_cache.get(data)
    if cached is not None:
        return cached
    with _schema.Envelope.from_bytes(data) as reader:
        envelope = _read_envelope(reader)
    if isinstance(envelope, _ForwardEnvelope):
        # Seldom full: a table version has only a few envelopes per service.
        if len(_forward_envelope_cache) >= FORWARD_CACHE_SIZE:
            _forward_envelope_cache.clear()
        _forward_envelope_cache[data] = envelope
    return envelope


def _read_envelope(envelope) -> Envelope | _ForwardEnvelope:
    union_name = str(envelope.which())
    body = getattr(envelope, union_name)
    if union_name == "forward":
        return _ForwardEnvelope(
            envelope.sender,
            envelope.incarnation,
            body.serviceId,
            body.tableVersion,
            body.flowBytes,
            body.hops,
            body.place,
        )
    message = _read_message(_get_message_types()[union_name], body)
    return Envelope(envelope.sender, envelope.incarnation, message)


def _read_message(kind: type, body):
    values = {}
    for field in _list_fields(kind):
        value = getattr(body, field.wire_name)
        if field.is_list:
            value = tuple(_read_element(field.element_type, item) for item in value)
        values[field.name] = value
    return kind(**values)


def _read_element(element_type: type | None, item):
    return item if element_type is None else _read_message(element_type, item)


def _build_dict(message) -> dict:
    values = {}
    for field in _list_fields(type(message)):
        value = getattr(message, field.name)
        if field.is_list:
            value = [
                item if field.element_type is None else _build_dict(item)
                for item in value
            ]
        values[field.wire_name] = value
    return values


@functools.cache
def _list_fields(kind: type) -> tuple[_Field, ...]:
    fields = []
    for name, annotation in typing.get_type_hints(kind).items():
        is_list = typing.get_origin(annotation) is tuple
        element_type = typing.get_args(annotation)[0] if is_list else None
        if element_type is not None and not attrs.has(element_type):
            element_type = None
        fields.append(_Field(name, _to_camel_case(name), element_type, is_list))
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
