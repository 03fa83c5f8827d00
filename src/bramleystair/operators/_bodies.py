"""Bodies of the objects that operators write."""

from result import Result

from bramleystair.store import ErrorKind, PlatformError, PlatformObject
from bramleystair.tables import (
    ConfigObject,
    decode_object,
    encode_object,
    replace_version,
)


def encode_text(item: ConfigObject) -> str:
    """Return the body of an object as the platform takes it."""
    return encode_object(item).decode()


def read_body(item: PlatformObject) -> Result[ConfigObject, PlatformError]:
    """Return the table or mark in an object, with the platform's version."""
    result = decode_object(item.key, item.body.encode())
    return result.map(lambda value: replace_version(value, item.version)).map_err(
        lambda error: PlatformError(
            error.step, error.peer, error.detail, ErrorKind.MALFORMED
        )
    )
