"""Objects, results and errors of calls to the platform."""

import enum

import attrs
import cattrs
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.wire import StoredObject

# A lost answer is recognised while fewer than this many later writes exist.
HISTORY_LENGTH = 8


class ErrorKind(enum.StrEnum):
    """What an error says about the outcome of a call."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    RATE_LIMITED = "rate_limited"
    REFUSED = "refused"
    CURSOR_EXPIRED = "cursor_expired"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"
    UNKNOWN_OUTCOME = "unknown_outcome"


# After these the call had no effect.
REFUSALS = frozenset(
    {
        ErrorKind.NOT_FOUND,
        ErrorKind.CONFLICT,
        ErrorKind.RATE_LIMITED,
        ErrorKind.REFUSED,
        ErrorKind.CURSOR_EXPIRED,
    }
)


@attrs.frozen
class PlatformError(StepError):
    """Describe a failed call.

    Parameters
    ----------
    kind : ErrorKind
        What is known of the outcome.
    retry_after_s : float
        Earliest time of a retry in seconds, as given by the platform.
    """

    kind: ErrorKind = ErrorKind.UNREACHABLE
    retry_after_s: float = 0.0

    @property
    def is_refusal(self) -> bool:
        """Return whether the call certainly had no effect."""
        return self.kind in REFUSALS


@attrs.frozen
class WriteNote:
    """Say who makes a change, when (ISO 8601), and which rows it concerns."""

    editor: str = ""
    time: str = ""
    changed: tuple[str, ...] = ()


@attrs.frozen
class WriteRecord:
    """One write of an object; the nonce is empty for one made by other means."""

    version: int
    nonce: str = ""
    note: WriteNote = WriteNote()


@attrs.frozen
class PlatformObject:
    """Object of the platform.

    Parameters
    ----------
    key : str
        Name of the object.
    version : int
        Raised by the platform on each write, also across deletion.
    nonce : str
        Chosen by the writer; identifies the write.
    note : WriteNote
        Who made the change, and when.
    history : tuple of WriteRecord
        The writes before this one, newest first, without gaps.
    body : str
        Content, JSON text; empty in a tombstone.
    is_deleted : bool
        Whether this is the tombstone of a deleted object.
    """

    key: str
    version: int
    nonce: str = ""
    note: WriteNote = WriteNote()
    history: tuple[WriteRecord, ...] = ()
    body: str = ""
    is_deleted: bool = False

    @property
    def record(self) -> WriteRecord:
        """Return the write that made this version."""
        return WriteRecord(self.version, self.nonce, self.note)

    def find_write(self, nonce: str) -> WriteRecord | None:
        """Return the write with `nonce` among the last writes, or None."""
        for record in (self.record, *self.history):
            if record.nonce == nonce:
                return record
        return None

    def to_stored_object(self) -> StoredObject:
        """Return the object as nodes hold and exchange it."""
        return StoredObject(self.key, self.version, self.nonce, self.body.encode())


@attrs.frozen
class Listing:
    """Objects under a prefix, and the cursor from which to watch them."""

    objects: tuple[PlatformObject, ...]
    cursor: int


@attrs.frozen
class Changes:
    """Changes after a cursor, oldest first, and the cursor after them."""

    objects: tuple[PlatformObject, ...]
    cursor: int


@attrs.frozen
class Accepted:
    """A write that took effect, with the version that it made."""

    version: int


def structure_answer(data: object, kind: type) -> Result[object, str]:
    """Return `data` as `kind`, or a description of what is wrong."""
    try:
        return Ok(_converter.structure(data, kind))
    except (cattrs.BaseValidationError, TypeError, ValueError, KeyError) as error:
        details = cattrs.transform_error(error)
        return Err("; ".join(details) or type(error).__name__)


def _read_strict(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


_converter = cattrs.Converter()
for _kind in (str, int, bool):
    _converter.register_structure_hook(_kind, _read_strict)
