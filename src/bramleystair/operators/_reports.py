"""Reports of the operator's commands, as text and JSON."""

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
    """Outcome of a write."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class RowChange:
    """Change of a row; `before` is None for a new row, `after` for a removed one."""

    server: str
    before: Member | None
    after: Member | None

    def __str__(self) -> str:
        """Return the line of the text output."""
        if self.before is None:
            return f"+ {_format_member(self.after)}"
        if self.after is None:
            return f"- {_format_member(self.before)}"
        return f"~ {_format_member(self.before)} -> {_format_member(self.after)}"


@attrs.frozen
class Conflict:
    """A row that both this operator and another writer changed since the export.

    Parameters
    ----------
    ours, theirs : RowChange
        Both changes, relative to the exported table.
    writes : tuple of WriteRecord
        Recorded writes since the export that changed the row.
    """

    ours: RowChange
    theirs: RowChange
    writes: tuple[WriteRecord, ...]

    def __str__(self) -> str:
        """Return the line of the text output."""
        writers = ", ".join(_format_write(write) for write in self.writes)
        return (
            f"{self.ours.server}: yours {self.ours}; theirs {self.theirs}"
            f" by {writers or 'an unrecorded writer'}"
        )


@attrs.frozen
class WriteReport:
    """Report of a command that writes an object."""

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

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
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
    """Report of a command whose input could not be read."""

    reason: str
    exit_code: ExitCode = ExitCode.UNREACHABLE

    @classmethod
    def from_error(cls, error: PlatformError) -> "FailureReport":
        """Return the report of a failed read, after which nothing was written."""
        code = ExitCode.REFUSED if error.is_refusal else ExitCode.UNREACHABLE
        return cls(str(error), code)

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        yield self.reason


@attrs.frozen
class CheckReport:
    """Report of the check of a table file."""

    file: str
    errors: tuple[TableError, ...]
    rows: int = 0
    note: str = ""

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of the command."""
        return ExitCode.REFUSED if self.errors else ExitCode.OK

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        yield from map(str, self.errors)
        if not self.errors:
            yield f"{self.file}: {self.rows} rows, no errors"
        if self.note:
            yield self.note


@attrs.frozen
class ExportReport:
    """Report of an export."""

    key: str
    version: int
    file: str
    rows: int
    exit_code: ExitCode = ExitCode.OK

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        yield f"{self.key} version {self.version}: {self.rows} rows in {self.file}"


@attrs.frozen
class DiffReport:
    """Difference between a table file and the current table on the platform."""

    key: str
    base_version: int
    present_version: int
    changes: tuple[RowChange, ...]
    exit_code: ExitCode = ExitCode.OK

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        yield (
            f"{self.key}: exported as version {self.base_version}, now version"
            f" {self.present_version}, {len(self.changes)} rows differ"
        )
        yield from map(str, self.changes)


@attrs.frozen
class ZoneState:
    """An availability zone and its mark; version 0 means that it has none."""

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

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        for state in self.zones:
            status = "in service" if state.is_in_service else "out of service"
            writer = f" by {state.editor} at {state.time}" if state.editor else ""
            yield f"{state.zone}: {status} (version {state.version}{writer})"


def format_report(report: object, output_format: str) -> str:
    """Return the output of a command as text or JSON."""
    if output_format != "json":
        return "\n".join(report.format_lines())
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
