"""Conversion between configuration objects and object bodies."""

from result import Result

from bramleystair.store import ErrorKind, PlatformError, PlatformObject
from bramleystair.tables import (
    ConfigObject,
    decode_object,
    encode_object,
    replace_version,
)


def encode_body(item: ConfigObject) -> str:
    """Return the body of an object as the platform stores it."""
    return encode_object(item).decode()


def decode_body(item: PlatformObject) -> Result[ConfigObject, PlatformError]:
    """Return the table or zone mark in an object, with its version."""
    result = decode_object(item.key, item.body.encode())
    return result.map(lambda value: replace_version(value, item.version)).map_err(
        lambda error: PlatformError(
            error.step, error.peer, error.detail, ErrorKind.MALFORMED
        )
    )
