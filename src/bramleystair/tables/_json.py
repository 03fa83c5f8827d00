"""JSON bodies of the objects on the platform."""

import json

import attrs
import cattrs
from cattrs.gen import make_dict_unstructure_fn, override
from result import Err, Ok, Result

from bramleystair.documents import MAX_PORT, read_int
from bramleystair.errors import StepError
from bramleystair.tables._csv import MAX_COUNT, MAX_WEIGHT
from bramleystair.tables._objects import (
    AgentAnnouncement,
    BalancerAnnouncement,
    Table,
    ZoneMark,
)

# Incarnations are the high 47 bits of an announcement's version.
MAX_INCARNATION = 2**47 - 1

ConfigObject = Table | ZoneMark | AgentAnnouncement | BalancerAnnouncement

TABLE_PREFIX = "table/"
ZONE_PREFIX = "zone/"
AGENT_PREFIX = "agent/"
BALANCER_PREFIX = "balancer/"

_TYPES_BY_PREFIX: dict[str, tuple[type, str]] = {
    TABLE_PREFIX: (Table, "service"),
    ZONE_PREFIX: (ZoneMark, "zone"),
    AGENT_PREFIX: (AgentAnnouncement, "server"),
    BALANCER_PREFIX: (BalancerAnnouncement, "node"),
}


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    # The platform assigns the versions of tables and zone marks, so their bodies have
    # none; the owner of an announcement assigns its version.
    for kind in (Table, ZoneMark):
        function = make_dict_unstructure_fn(
            kind, converter, version=override(omit=True)
        )
        converter.register_unstructure_hook(kind, function)
    return converter


_converter = _build_converter()


def build_key(item: ConfigObject) -> str:
    """Return the key of `item` on the platform."""
    for prefix, (kind, name_field) in _TYPES_BY_PREFIX.items():
        if isinstance(item, kind):
            return prefix + getattr(item, name_field)
    raise TypeError(f"no key for {type(item).__name__}")


def encode_object(item: ConfigObject) -> bytes:
    """Return the JSON body of `item`; equal objects have equal bodies."""
    values = _converter.unstructure(item)
    return json.dumps(values, sort_keys=True, separators=(",", ":")).encode()


def decode_object(key: str, body: bytes) -> Result[ConfigObject, StepError]:
    """Return the object that `body` describes.

    Parameters
    ----------
    key : str
        Key of the object; its prefix determines the type.
    body : bytes
        JSON text.

    Returns
    -------
    Result of Table, ZoneMark, AgentAnnouncement, BalancerAnnouncement or StepError
        The error covers unknown types, malformed bodies and bodies whose name differs
        from the key.
    """
    prefix, _, name = key.partition("/")
    if prefix + "/" not in _TYPES_BY_PREFIX:
        return Err(StepError("decode object", key, "unknown type of object"))
    kind, name_field = _TYPES_BY_PREFIX[prefix + "/"]
    try:
        item = _converter.structure(json.loads(body), kind)
        _check_values(item, body)
    except Exception as error:  # cattrs raises groups of any exceptions of its hooks
        return Err(StepError("decode object", key, f"{type(error).__name__}: {error}"))
    if getattr(item, name_field) != name:
        return Err(
            StepError("decode object", key, f"key does not match the {name_field}")
        )
    return Ok(item)


def _check_values(item: ConfigObject, body: bytes) -> None:
    """Raise TypeError or ValueError for values that no node can use or send."""
    if b"\\u" in body:
        # Escapes of single surrogates have no encoding.
        json.dumps(_converter.unstructure(item), ensure_ascii=False).encode()
    match item:
        case Table(port=port, members=members):
            read_int(port, "port", highest=MAX_PORT)
            for member in members:
                if not 0 <= member.weight <= MAX_WEIGHT:
                    raise ValueError(f"weight of {member.server} is out of range")
                read_int(member.max_flows, "max_flows", highest=MAX_COUNT)
                read_int(member.max_requests, "max_requests", highest=MAX_COUNT)
        case AgentAnnouncement(port=port):
            _check_announcement(item, port)
        case BalancerAnnouncement(port=port, http_port=http_port):
            _check_announcement(item, port, http_port)


def _check_announcement(
    item: AgentAnnouncement | BalancerAnnouncement, *ports: int
) -> None:
    for port in ports:
        read_int(port, "port", highest=MAX_PORT)
    read_int(item.incarnation, "incarnation", highest=MAX_INCARNATION)
    read_int(item.version, "version")


def replace_version(item: ConfigObject, version: int) -> ConfigObject:
    """Return `item` with the version that the platform assigned to it."""
    return attrs.evolve(item, version=version)
