"""Results of the operator's commands, as text and as JSON."""

import enum
import json
from collections.abc import Iterator

import attrs

from bramleystair.store import PlatformError, WriteRecord
from bramleystair.tables import Member, TableError, format_weight


class ExitCode(enum.IntEnum):
    """Exit codes of the operator's client."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN_OUTCOME = 3
    UNREACHABLE = 4


class WriteOutcome(enum.StrEnum):
    """What became of a write."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class RowChange:
    """Change of one row; `before` or `after` is None for a new or removed row."""

    server: str
    before: Member | None
    after: Member | None

    def __str__(self) -> str:
        """Return a single line for terminals."""
        if self.before is None:
            return f"+ {_format_member(self.after)}"
        if self.after is None:
            return f"- {_format_member(self.before)}"
        return f"~ {_format_member(self.before)} -> {_format_member(self.after)}"


@attrs.frozen
class Conflict:
    """A row that was changed here and by another writer since the export.

    Parameters
    ----------
    ours, theirs : RowChange
        Both changes, relative to the exported table.
    writes : tuple of WriteRecord
        The writes since the export that changed the row, as far as they are recorded.
    """

    ours: RowChange
    theirs: RowChange
    writes: tuple[WriteRecord, ...]

    def __str__(self) -> str:
        """Return a single line for terminals."""
        writers = ", ".join(_format_write(write) for write in self.writes)
        return (
            f"{self.ours.server}: yours {self.ours}; theirs {self.theirs}"
            f" by {writers or 'an unrecorded writer'}"
        )


@attrs.frozen
class WriteReport:
    """Result of a command that writes an object."""

    key: str
    outcome: WriteOutcome
    version: int = 0
    reason: str = ""
    changes: tuple[RowChange, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    errors: tuple[TableError, ...] = ()
    writes_since: tuple[WriteRecord, ...] = ()
    pushed_to: tuple[str, ...] = ()

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of the command."""
        if self.outcome is WriteOutcome.UNKNOWN:
            return ExitCode.UNKNOWN_OUTCOME
        if self.outcome is WriteOutcome.REFUSED:
            return ExitCode.REFUSED
        return ExitCode.OK

    def list_lines(self) -> Iterator[str]:
        """Yield the lines for a terminal."""
        version = f" as version {self.version}" if self.version else ""
        reason = f": {self.reason}" if self.reason else ""
        yield f"{self.key}: {self.outcome}{version}{reason}"
        yield from map(str, self.errors)
        yield from (f"  {change}" for change in self.changes)
        for write in self.writes_since:
            rows = ", ".join(write.note.changed) or "not recorded"
            yield f"  written since: {_format_write(write)}; rows: {rows}"
        yield from (f"  conflict: {conflict}" for conflict in self.conflicts)
        if self.pushed_to:
            yield "  pushed to " + ", ".join(self.pushed_to)


@attrs.frozen
class FailureReport:
    """Result of a command that could not read what it needs."""

    reason: str
    exit_code: ExitCode = ExitCode.UNREACHABLE

    @classmethod
    def from_error(cls, error: PlatformError) -> "FailureReport":
        """Return the report of a failed read, which has no effect."""
        code = ExitCode.REFUSED if error.is_refusal else ExitCode.UNREACHABLE
        return cls(str(error), code)

    def list_lines(self) -> Iterator[str]:
        """Yield the lines for a terminal."""
        yield self.reason


@attrs.frozen
class CheckReport:
    """Result of checking a table file."""

    file: str
    errors: tuple[TableError, ...]
    rows: int = 0
    note: str = ""

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of the command."""
        return ExitCode.REFUSED if self.errors else ExitCode.OK

    def list_lines(self) -> Iterator[str]:
        """Yield the lines for a terminal."""
        yield from map(str, self.errors)
        if not self.errors:
            yield f"{self.file}: {self.rows} rows, no errors"
        if self.note:
            yield self.note


@attrs.frozen
class ExportReport:
    """Result of an export."""

    key: str
    version: int
    file: str
    rows: int
    exit_code: ExitCode = ExitCode.OK

    def list_lines(self) -> Iterator[str]:
        """Yield the lines for a terminal."""
        yield f"{self.key} version {self.version}: {self.rows} rows in {self.file}"


@attrs.frozen
class DiffReport:
    """Difference between a table file and the present table."""

    key: str
    base_version: int
    present_version: int
    changes: tuple[RowChange, ...]
    exit_code: ExitCode = ExitCode.OK

    def list_lines(self) -> Iterator[str]:
        """Yield the lines for a terminal."""
        yield (
            f"{self.key}: exported as version {self.base_version}, now version"
            f" {self.present_version}, {len(self.changes)} rows differ"
        )
        yield from map(str, self.changes)


@attrs.frozen
class ZoneState:
    """An availability zone and its mark; version 0 when it has none."""

    zone: str
    is_in_service: bool
    version: int
    editor: str = ""
    time: str = ""


@attrs.frozen
class ZoneReport:
    """Availability zones and their marks."""

    zones: tuple[ZoneState, ...]
    exit_code: ExitCode = ExitCode.OK

    def list_lines(self) -> Iterator[str]:
        """Yield the lines for a terminal."""
        for state in self.zones:
            word = "in service" if state.is_in_service else "out of service"
            writer = f" by {state.editor} at {state.time}" if state.editor else ""
            yield f"{state.zone}: {word} (version {state.version}{writer})"


def format_report(report: object, style: str) -> str:
    """Return `report` as the text or JSON document of a command."""
    if style != "json":
        return "\n".join(report.list_lines())
    document = attrs.asdict(report)
    document["exit_code"] = int(report.exit_code)
    return json.dumps(document, indent=2)


def _format_member(member: Member) -> str:
    return (
        f"{member.server} {member.zone} weight {format_weight(member.weight)}"
        f" flows {member.max_flows} requests {member.max_requests}"
    )


def _format_write(write: WriteRecord) -> str:
    editor = write.note.editor or "an unnamed writer"
    return f"{editor} at {write.note.time or 'an unknown time'} ({write.version})"
