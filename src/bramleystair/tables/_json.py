"""JSON bodies of the platform's objects."""

import json

import attrs
import cattrs
from cattrs.gen import make_dict_unstructure_fn, override
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.tables._objects import (
    AgentAnnouncement,
    BalancerAnnouncement,
    Table,
    ZoneMark,
)

ConfigObject = Table | ZoneMark | AgentAnnouncement | BalancerAnnouncement

TABLE_PREFIX = "table/"
ZONE_PREFIX = "zone/"
AGENT_PREFIX = "agent/"
BALANCER_PREFIX = "balancer/"

_KINDS: dict[str, tuple[type, str]] = {
    TABLE_PREFIX: (Table, "service"),
    ZONE_PREFIX: (ZoneMark, "zone"),
    AGENT_PREFIX: (AgentAnnouncement, "server"),
    BALANCER_PREFIX: (BalancerAnnouncement, "node"),
}


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    # The platform numbers tables and marks; announcements are numbered by their owner.
    for kind in (Table, ZoneMark):
        function = make_dict_unstructure_fn(
            kind, converter, version=override(omit=True)
        )
        converter.register_unstructure_hook(kind, function)
    return converter


_converter = _build_converter()


def build_key(item: ConfigObject) -> str:
    """Return the platform's key of `item`."""
    for prefix, (kind, name_field) in _KINDS.items():
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
        Key of the object; its prefix names the kind.
    body : bytes
        JSON text.

    Returns
    -------
    Result of Table, ZoneMark, AgentAnnouncement, BalancerAnnouncement or StepError
        The error covers unknown kinds, malformed bodies and a body whose name differs
        from its key.
    """
    prefix, _, name = key.partition("/")
    if prefix + "/" not in _KINDS:
        return Err(StepError("decode object", key, "unknown kind of object"))
    kind, name_field = _KINDS[prefix + "/"]
    try:
        item = _converter.structure(json.loads(body), kind)
    except Exception as error:  # cattrs raises groups of the hooks' exceptions
        return Err(StepError("decode object", key, f"{type(error).__name__}: {error}"))
    if getattr(item, name_field) != name:
        return Err(StepError("decode object", key, f"body names another {name_field}"))
    return Ok(item)


def replace_version(item: ConfigObject, version: int) -> ConfigObject:
    """Return `item` with the version under which it is stored."""
    return attrs.evolve(item, version=version)
