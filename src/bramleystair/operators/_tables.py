"""Commands on service tables."""

import json
from collections.abc import Callable, Collection, Sequence
from pathlib import Path

import attrs
import cattrs
from result import Err, Ok, Result

from bramleystair.operators._bodies import encode_text, read_body
from bramleystair.operators._merge import (
    apply_changes,
    compare_rows,
    find_conflicts,
    list_writes_since,
)
from bramleystair.operators._push import Balancer, list_balancers
from bramleystair.operators._reports import (
    CheckReport,
    DiffReport,
    ExitCode,
    ExportReport,
    FailureReport,
    RowChange,
    WriteOutcome,
    WriteReport,
)
from bramleystair.operators._session import OperatorSession
from bramleystair.store import PlatformError, PlatformObject
from bramleystair.tables import (
    Member,
    Protocol,
    Table,
    TableError,
    read_table_csv,
    write_table_csv,
)

TABLE_PREFIX = "table/"
BASE_SUFFIX = ".base"
# Each round is lost only to another accepted write of the same table.
MERGE_ROUNDS = 5


@attrs.frozen
class Base:
    """The table that a file was exported from, kept beside it."""

    table: Table


@attrs.frozen
class _Present:
    item: PlatformObject | None
    table: Table
    zones: frozenset[str]
    balancers: tuple[Balancer, ...]


@attrs.frozen
class _Written:
    report: WriteReport
    table: Table


def export_table(
    session: OperatorSession, service: str, file: Path
) -> ExportReport | FailureReport:
    """Write the rows of a table to `file`, and its version beside it."""
    result = _read_present(session, service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    table = result.unwrap().table
    if not table.version:
        return FailureReport(f"there is no table of {service}", ExitCode.REFUSED)
    file.write_bytes(write_table_csv(table.members))
    _write_base(file, table)
    rows = len(table.members)
    return ExportReport(TABLE_PREFIX + service, table.version, str(file), rows)


def check_table(
    file: Path, zones: Collection[str] | None, session: OperatorSession | None = None
) -> CheckReport | FailureReport:
    """Check a table file, with the zones that the platform knows where it answers."""
    note = ""
    if zones is None and session is not None:
        objects = session.client.list_objects()
        if objects.is_ok():
            zones = session.list_zones(objects.unwrap().objects)
        else:
            note = "availability zones were not checked: the platform did not answer"
    result = _read_file(file, zones)
    if isinstance(result, FailureReport):
        return result
    rows = len(result.unwrap_or(()))
    return CheckReport(str(file), result.err() or (), rows, note)


def diff_table(session: OperatorSession, file: Path) -> DiffReport | object:
    """Compare a table file with the present table."""
    base = read_base(file)
    if base.is_err():
        return base.unwrap_err()
    rows = _read_file(file, None)
    if isinstance(rows, FailureReport):
        return rows
    if rows.is_err():
        return CheckReport(str(file), rows.unwrap_err())
    result = _read_present(session, base.unwrap().table.service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    present = result.unwrap().table
    return DiffReport(
        TABLE_PREFIX + present.service,
        base.unwrap().table.version,
        present.version,
        compare_rows(present.members, rows.unwrap()),
    )


def apply_table(
    session: OperatorSession, file: Path, *, is_merging: bool = False
) -> WriteReport | FailureReport:
    """Write the rows of `file`, on condition that the table is as it was exported.

    Parameters
    ----------
    session : OperatorSession
        Platform and editor.
    file : Path
        An exported and edited table.
    is_merging : bool
        Whether to carry the row changes over to a newer table. Rows that both sides
        changed differently are conflicts, and nothing is written.
    """
    base = read_base(file)
    if base.is_err():
        return base.unwrap_err()
    table = base.unwrap().table
    result = _read_present(session, table.service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    rows = _read_file(file, result.unwrap().zones)
    if isinstance(rows, FailureReport):
        return rows
    if rows.is_err():
        return _build_invalid(table.service, rows.unwrap_err())
    changes = compare_rows(table.members, rows.unwrap())
    written = _write_changes(
        session, table, changes, rows.unwrap(), is_merging=is_merging
    )
    return _keep_written(file, written)


def create_table(
    session: OperatorSession,
    service: str,
    address: str,
    port: int,
    protocol: Protocol,
    file: Path,
) -> WriteReport | FailureReport:
    """Write the table of a new service from the rows in `file`."""
    result = _read_present(session, service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    rows = _read_file(file, result.unwrap().zones or None)
    if isinstance(rows, FailureReport):
        return rows
    if rows.is_err():
        return _build_invalid(service, rows.unwrap_err())
    table = Table(service, address, port, protocol, ())
    changes = compare_rows((), rows.unwrap())
    written = _write_changes(session, table, changes, rows.unwrap(), is_merging=False)
    return _keep_written(file, written)


def edit_table(
    session: OperatorSession,
    service: str,
    edit: Callable[[Sequence[Member]], bytes],
) -> WriteReport | FailureReport:
    """Change rows of the present table in one step.

    Parameters
    ----------
    session : OperatorSession
        Platform and editor.
    service : str
        Service whose table is changed.
    edit : callable
        Takes the present rows and returns the edited ones as CSV.
    """
    result = _read_present(session, service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    present = result.unwrap()
    if not present.table.version:
        return FailureReport(f"there is no table of {service}", ExitCode.REFUSED)
    data = edit(present.table.members)
    rows = read_table_csv(data, file="edited rows", zones=present.zones)
    if rows.is_err():
        return _build_invalid(service, rows.unwrap_err())
    changes = compare_rows(present.table.members, rows.unwrap())
    written = _write_changes(
        session, present.table, changes, rows.unwrap(), is_merging=True
    )
    return written if isinstance(written, FailureReport) else written.report


def read_base(file: Path) -> Result[Base, FailureReport]:
    """Return the table that `file` was exported from."""
    path = _get_base_path(file)
    try:
        document = json.loads(path.read_text())
        return Ok(cattrs.structure(document, Base))
    except OSError:
        reason = f"{path}: not found; export the table first, or create it"
    except (ValueError, TypeError, cattrs.BaseValidationError):
        reason = f"{path}: not the file that an export writes"
    return Err(FailureReport(reason, ExitCode.USAGE))


def _write_changes(
    session: OperatorSession,
    base: Table,
    changes: tuple[RowChange, ...],
    rows: tuple[Member, ...],
    *,
    is_merging: bool,
) -> _Written | FailureReport:
    """Write `changes` of `base`, and look again after each write by another."""
    nonce = session.create_nonce()
    for _ in range(MERGE_ROUNDS):
        result = _read_present(session, base.service)
        if result.is_err():
            return FailureReport.from_error(result.unwrap_err())
        present = result.unwrap()
        planned = _plan(base, changes, rows, present, is_merging=is_merging)
        if isinstance(planned, WriteReport):
            return _Written(planned, base)
        written = _write_once(session, planned, changes, present, nonce)
        if written is not None:
            return written
    key = TABLE_PREFIX + base.service
    reason = f"overtaken by other writes {MERGE_ROUNDS} times"
    return _Written(WriteReport(key, WriteOutcome.REFUSED, reason=reason), base)


def _plan(
    base: Table,
    changes: tuple[RowChange, ...],
    rows: tuple[Member, ...],
    present: _Present,
    *,
    is_merging: bool,
) -> Table | WriteReport:
    """Return the table to write, or the refusal."""
    if present.table.version == base.version:
        return attrs.evolve(base, members=rows)
    if present.table.members == rows and base.version:
        return present.table
    refusal = _refuse_stale(base, changes, present, is_merging=is_merging)
    if refusal is not None:
        return refusal
    members = apply_changes(present.table.members, changes)
    if not members:
        key = TABLE_PREFIX + base.service
        return WriteReport(key, WriteOutcome.REFUSED, reason="no rows would be left")
    return attrs.evolve(present.table, members=members)


def _write_once(
    session: OperatorSession,
    table: Table,
    changes: tuple[RowChange, ...],
    present: _Present,
    nonce: str,
) -> _Written | None:
    """Write `table`; return None when another write came first."""
    key = TABLE_PREFIX + table.service
    if present.item is not None and present.table.members == table.members:
        pushed = session.push(present.item, present.balancers)
        report = WriteReport(
            key, WriteOutcome.UNCHANGED, present.table.version, pushed_to=pushed
        )
        return _Written(report, present.table)
    names = tuple(change.server for change in changes)
    report = session.put(
        key, encode_text(table), present.item, present.balancers, names, nonce
    )
    if report is None:
        return None
    report = attrs.evolve(report, changes=changes)
    return _Written(report, attrs.evolve(table, version=report.version))


def _refuse_stale(
    base: Table,
    changes: tuple[RowChange, ...],
    present: _Present,
    *,
    is_merging: bool,
) -> WriteReport | None:
    """Return the refusal of changes made to an older table, or None to merge them."""
    key = TABLE_PREFIX + base.service
    if present.item is None:
        reason = "the table was deleted since the export"
        return WriteReport(key, WriteOutcome.REFUSED, reason=reason)
    writes = list_writes_since(present.item, base.version)
    theirs = compare_rows(base.members, present.table.members)
    conflicts = find_conflicts(changes, theirs, writes)
    if is_merging and not conflicts:
        return None
    version = present.table.version
    reason = f"exported as version {base.version}, now version {version}"
    return WriteReport(
        key,
        WriteOutcome.REFUSED,
        reason=reason,
        changes=changes,
        conflicts=conflicts,
        writes_since=writes,
    )


def _read_present(
    session: OperatorSession, service: str
) -> Result[_Present, PlatformError]:
    result = session.client.list_objects()
    if result.is_err():
        return result
    objects = result.unwrap().objects
    key = TABLE_PREFIX + service
    item = next((item for item in objects if item.key == key), None)
    table = Ok(Table(service, "", 0, Protocol.TCP, ()))
    if item is not None:
        table = read_body(item)
    zones = session.list_zones(objects)
    return table.map(
        lambda table: _Present(item, table, zones, list_balancers(objects))
    )


def _read_file(
    file: Path, zones: Collection[str] | None
) -> Result[tuple[Member, ...], tuple[TableError, ...]] | FailureReport:
    try:
        data = file.read_bytes()
    except OSError as error:
        return FailureReport(f"{file}: {error.strerror}", ExitCode.USAGE)
    return read_table_csv(data, file=str(file), zones=zones)


def _keep_written(
    file: Path, written: _Written | FailureReport
) -> WriteReport | FailureReport:
    """Make the file stand for the accepted table, so that it can be edited on."""
    if isinstance(written, FailureReport):
        return written
    if written.report.exit_code is not ExitCode.OK:
        return written.report
    rows = _read_file(file, None)
    if not isinstance(rows, FailureReport) and rows.ok() != written.table.members:
        file.write_bytes(write_table_csv(written.table.members))
    _write_base(file, written.table)
    return written.report


def _write_base(file: Path, table: Table) -> None:
    document = json.dumps(attrs.asdict(Base(table)), indent=1)
    _get_base_path(file).write_text(document)


def _get_base_path(file: Path) -> Path:
    return file.with_name(file.name + BASE_SUFFIX)


def _build_invalid(service: str, errors: tuple[TableError, ...]) -> WriteReport:
    key = TABLE_PREFIX + service
    return WriteReport(
        key, WriteOutcome.REFUSED, reason="the file has errors", errors=errors
    )
