"""JSON bodies of the objects that operators write."""

import json

import attrs
import cattrs
from result import Err, Ok, Result

from bramleystair.platform import ErrorKind, PlatformError, PlatformObject
from bramleystair.tables import Table, ZoneMark


def write_body(item: Table | ZoneMark) -> str:
    """Return the body of an object; its version is kept by the platform."""
    document = attrs.asdict(item)
    del document["version"]
    return json.dumps(document, sort_keys=True)


def read_body(
    item: PlatformObject, kind: type[Table] | type[ZoneMark]
) -> Result[Table | ZoneMark, PlatformError]:
    """Return the table or mark in an object."""
    try:
        document = json.loads(item.body)
        return Ok(cattrs.structure({**document, "version": item.version}, kind))
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        detail = f"not a {kind.__name__}: {error}"
        return Err(PlatformError("read body", item.key, detail, ErrorKind.MALFORMED))
