"""Objects, results and errors of platform calls."""

import enum

import attrs
import cattrs
from result import Err, Ok, Result

from bramleystair.documents import DECODE_ERRORS, read_int, read_text
from bramleystair.errors import StepError
from bramleystair.wire import StoredObject

# Number of earlier writes kept in an object. A write without a response can be verified
# as long as fewer later writes exist.
HISTORY_LENGTH = 8
# A version in a replica consists of the epoch in the high bits and the version that the
# platform assigned in the low ones, which leaves room for 2**23 epochs in 63 bits.
VERSION_BITS = 40
MAX_EPOCH = 2**23 - 1
MAX_VERSION = 2**VERSION_BITS - 1


class ErrorKind(enum.StrEnum):
    """Kind of an error, from which the effect of the call can be inferred."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    RATE_LIMITED = "rate_limited"
    REFUSED = "refused"
    CURSOR_EXPIRED = "cursor_expired"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"
    UNKNOWN_OUTCOME = "unknown_outcome"


# Kinds after which the call is certain to have had no effect.
REFUSAL_KINDS = frozenset(
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
    """Error of a platform call.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    retry_after_s : float
        Delay before a retry in seconds, as requested by the platform.
    """

    kind: ErrorKind = ErrorKind.UNREACHABLE
    retry_after_s: float = 0.0

    @property
    def is_refusal(self) -> bool:
        """Return whether the call certainly had no effect."""
        return self.kind in REFUSAL_KINDS


@attrs.frozen
class WriteNote:
    """Author, time (ISO 8601) and changed rows of a write."""

    editor: str = ""
    time: str = ""
    changed: tuple[str, ...] = ()


@attrs.frozen
class WriteRecord:
    """Record of a write; the nonce is empty if the writer gave none."""

    version: int
    nonce: str = ""
    note: WriteNote = WriteNote()


@attrs.frozen
class PlatformObject:
    """Object stored in the platform.

    Parameters
    ----------
    key : str
        Name of the object.
    version : int
        Increased by the platform on each write, also across deletions.
    nonce : str
        Identifier of the write, chosen by the writer.
    note : WriteNote
        Author and time of the change.
    history : tuple of WriteRecord
        Writes before this one, newest first, without gaps.
    body : str
        Content as JSON text; empty in a tombstone.
    is_deleted : bool
        Whether this is the tombstone of a deleted object.
    epoch : int
        Epoch of the platform in which the object was written, as its writer knew it.
    """

    key: str
    version: int
    nonce: str = ""
    note: WriteNote = WriteNote()
    history: tuple[WriteRecord, ...] = ()
    body: str = ""
    is_deleted: bool = False
    epoch: int = 0

    @property
    def record(self) -> WriteRecord:
        """Return the record of the write that created this version."""
        return WriteRecord(self.version, self.nonce, self.note)

    def find_write(self, nonce: str) -> WriteRecord | None:
        """Return the record of the write with `nonce`, or None if it is unknown."""
        for record in (self.record, *self.history):
            if record.nonce == nonce:
                return record
        return None

    def to_stored_object(self) -> StoredObject:
        """Return the object in the form that nodes store and exchange."""
        version = combine_version(self.epoch, self.version)
        return StoredObject(self.key, version, self.nonce, self.body.encode())


@attrs.frozen
class Listing:
    """Objects under a prefix and the cursor from which to watch them.

    Parameters
    ----------
    epoch : int
        Epoch of the platform, in which the cursor is valid.
    errors : tuple of str
        Reasons why further objects cannot be read.
    """

    objects: tuple[PlatformObject, ...]
    cursor: int
    epoch: int = 0
    errors: tuple[str, ...] = ()


@attrs.frozen
class Changes:
    """Changes after a cursor, oldest first, and the next cursor.

    Parameters
    ----------
    epoch : int
        Epoch of the platform, in which the cursor is valid.
    errors : tuple of str
        Reasons why further objects cannot be read.
    """

    objects: tuple[PlatformObject, ...]
    cursor: int
    epoch: int = 0
    errors: tuple[str, ...] = ()


@attrs.frozen
class Accepted:
    """Result of a write that took effect, with the version that it created."""

    version: int


def combine_version(epoch: int, version: int) -> int:
    """Return the version by which replicas order an object written in `epoch`.

    A platform that was restored from an older copy assigns versions again. What is
    written after that replaces what was lost, while an object of the copy does not. An
    epoch out of range, which no client writes, counts as 0.
    """
    if not 0 <= epoch <= MAX_EPOCH:
        epoch = 0
    return (epoch << VERSION_BITS) + version


def format_version(combined: int) -> str:
    """Return a combined version as text, with its epoch unless that is 0."""
    epoch, version = divmod(combined, 1 << VERSION_BITS)
    return f"{version} of epoch {epoch}" if epoch else str(version)


def parse_response(data: object, kind: type) -> Result[object, str]:
    """Return `data` as `kind`, or a description of the mismatch.

    Objects of a listing and changes that cannot be read are left out, with an error in
    the result for each.
    """
    try:
        if kind in (Listing, Changes):
            return Ok(_structure_objects(data, kind))
        return Ok(_converter.structure(data, kind))
    except (cattrs.BaseValidationError, *DECODE_ERRORS) as error:
        return Err(_describe(error))


def _structure_objects(data: object, kind: type) -> object:
    objects, errors = [], []
    for document in data["objects"]:
        try:
            objects.append(
                _check_object(_converter.structure(document, PlatformObject))
            )
        except (cattrs.BaseValidationError, *DECODE_ERRORS) as error:
            errors.append(_describe(error))
    return kind(tuple(objects), read_int(data["cursor"], "cursor"), 0, tuple(errors))


def _check_object(item: PlatformObject) -> PlatformObject:
    """Return the object, or raise an error if nodes cannot store or send it."""
    read_int(item.version, "version", highest=MAX_VERSION)
    for name in ("key", "nonce", "body"):
        read_text(getattr(item, name), name)
    return item


def _describe(error: Exception) -> str:
    details = cattrs.transform_error(error)
    return "; ".join(details) or type(error).__name__


def _require_exact_type(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


_converter = cattrs.Converter()
for _kind in (str, int, bool):
    _converter.register_structure_hook(_kind, _require_exact_type)
