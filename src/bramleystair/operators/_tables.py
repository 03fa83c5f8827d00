"""Commands on service tables."""

import json
from collections.abc import Callable, Collection, Sequence
from pathlib import Path

import attrs
import cattrs
from result import Err, Ok, Result

from bramleystair.operators._bodies import decode_body, encode_body
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
RECORD_SUFFIX = ".base"
# An attempt fails only if another write of the same table was accepted first.
MAX_WRITE_ATTEMPTS = 5


@attrs.frozen
class ExportRecord:
    """The table as it was exported, stored beside the exported file."""

    table: Table


@attrs.frozen
class _CurrentTable:
    item: PlatformObject | None
    table: Table
    zones: frozenset[str]
    balancers: tuple[Balancer, ...]


@attrs.frozen
class _WriteResult:
    report: WriteReport
    table: Table


def export_table(
    session: OperatorSession, service: str, file: Path
) -> ExportReport | FailureReport:
    """Write the rows of a table to `file`, with an export record beside it."""
    result = _read_current(session, service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    table = result.unwrap().table
    if not table.version:
        return FailureReport(f"no table for service {service}", ExitCode.REFUSED)
    file.write_bytes(write_table_csv(table.members))
    _write_export_record(file, table)
    rows = len(table.members)
    return ExportReport(TABLE_PREFIX + service, table.version, str(file), rows)


def check_table(
    file: Path, zones: Collection[str] | None, session: OperatorSession | None = None
) -> CheckReport | FailureReport:
    """Check a table file, by default against the zones known to the platform."""
    note = ""
    if zones is None and session is not None:
        objects = session.client.list_objects()
        if objects.is_ok():
            zones = session.list_zones(objects.unwrap().objects)
        else:
            note = "availability zones were not checked: the platform did not respond"
    result = _read_file(file, zones)
    if isinstance(result, FailureReport):
        return result
    rows = len(result.unwrap_or(()))
    return CheckReport(str(file), result.err() or (), rows, note)


def diff_table(session: OperatorSession, file: Path) -> DiffReport | object:
    """Compare a table file with the current table on the platform."""
    base = read_export_record(file)
    if base.is_err():
        return base.unwrap_err()
    rows = _read_file(file, None)
    if isinstance(rows, FailureReport):
        return rows
    if rows.is_err():
        return CheckReport(str(file), rows.unwrap_err())
    result = _read_current(session, base.unwrap().table.service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    current = result.unwrap().table
    return DiffReport(
        TABLE_PREFIX + current.service,
        base.unwrap().table.version,
        current.version,
        compare_rows(current.members, rows.unwrap()),
    )


def apply_table(
    session: OperatorSession, file: Path, *, is_merging: bool = False
) -> WriteReport | FailureReport:
    """Write the rows of `file`, provided that the table is unchanged since its export.

    Parameters
    ----------
    session : OperatorSession
        Platform client and editor.
    file : Path
        CSV file of an exported and edited table.
    is_merging : bool
        Whether to merge the row changes into a newer table. Rows that both sides
        changed differently are conflicts; with any, nothing is written.
    """
    base = read_export_record(file)
    if base.is_err():
        return base.unwrap_err()
    table = base.unwrap().table
    result = _read_current(session, table.service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    rows = _read_file(file, result.unwrap().zones)
    if isinstance(rows, FailureReport):
        return rows
    if rows.is_err():
        return _build_invalid_report(table.service, rows.unwrap_err())
    changes = compare_rows(table.members, rows.unwrap())
    written = _write_changes(
        session, table, changes, rows.unwrap(), is_merging=is_merging
    )
    return _update_file(file, written)


def create_table(
    session: OperatorSession,
    service: str,
    address: str,
    port: int,
    protocol: Protocol,
    file: Path,
) -> WriteReport | FailureReport:
    """Write the table of a new service from the rows in `file`."""
    result = _read_current(session, service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    rows = _read_file(file, result.unwrap().zones or None)
    if isinstance(rows, FailureReport):
        return rows
    if rows.is_err():
        return _build_invalid_report(service, rows.unwrap_err())
    table = Table(service, address, port, protocol, ())
    changes = compare_rows((), rows.unwrap())
    written = _write_changes(session, table, changes, rows.unwrap(), is_merging=False)
    return _update_file(file, written)


def edit_table(
    session: OperatorSession,
    service: str,
    edit: Callable[[Sequence[Member]], bytes],
) -> WriteReport | FailureReport:
    """Change rows of the current table without a file.

    Parameters
    ----------
    session : OperatorSession
        Platform client and editor.
    service : str
        Service whose table is changed.
    edit : callable
        Called with the current rows; returns the edited rows as CSV.
    """
    result = _read_current(session, service)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    current = result.unwrap()
    if not current.table.version:
        return FailureReport(f"no table for service {service}", ExitCode.REFUSED)
    data = edit(current.table.members)
    rows = read_table_csv(data, file="edited rows", zones=current.zones)
    if rows.is_err():
        return _build_invalid_report(service, rows.unwrap_err())
    changes = compare_rows(current.table.members, rows.unwrap())
    written = _write_changes(
        session, current.table, changes, rows.unwrap(), is_merging=True
    )
    return written if isinstance(written, FailureReport) else written.report


def read_export_record(file: Path) -> Result[ExportRecord, FailureReport]:
    """Return the record of the table that `file` was exported from."""
    path = _get_record_path(file)
    try:
        document = json.loads(path.read_text())
        return Ok(cattrs.structure(document, ExportRecord))
    except OSError:
        reason = f"{path}: not found; export the table first, or create it"
    except (ValueError, TypeError, cattrs.BaseValidationError):
        reason = f"{path}: not a valid export record"
    return Err(FailureReport(reason, ExitCode.USAGE))


def _write_changes(
    session: OperatorSession,
    base: Table,
    changes: tuple[RowChange, ...],
    rows: tuple[Member, ...],
    *,
    is_merging: bool,
) -> _WriteResult | FailureReport:
    """Write `changes` of `base`; try again if another write came first."""
    nonce = session.create_nonce()
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = _read_current(session, base.service)
        if result.is_err():
            return FailureReport.from_error(result.unwrap_err())
        current = result.unwrap()
        planned = _plan_write(base, changes, rows, current, is_merging=is_merging)
        if isinstance(planned, WriteReport):
            return _WriteResult(planned, base)
        written = _write_once(session, planned, changes, current, nonce)
        if written is not None:
            return written
    key = TABLE_PREFIX + base.service
    reason = f"gave up after {MAX_WRITE_ATTEMPTS} concurrent writes"
    return _WriteResult(WriteReport(key, WriteOutcome.REFUSED, reason=reason), base)


def _plan_write(
    base: Table,
    changes: tuple[RowChange, ...],
    rows: tuple[Member, ...],
    current: _CurrentTable,
    *,
    is_merging: bool,
) -> Table | WriteReport:
    """Return the table to write, or the report of a refusal."""
    # The version alone does not tell: a restored platform assigns versions again.
    is_unchanged = current.table == base if base.version else current.item is None
    if is_unchanged:
        return attrs.evolve(base, members=rows)
    if current.table.members == rows and base.version:
        return current.table
    refusal = _refuse_stale_base(base, changes, current, is_merging=is_merging)
    if refusal is not None:
        return refusal
    members = apply_changes(current.table.members, changes)
    if not members:
        key = TABLE_PREFIX + base.service
        return WriteReport(
            key, WriteOutcome.REFUSED, reason="the table would have no rows"
        )
    return attrs.evolve(current.table, members=members)


def _write_once(
    session: OperatorSession,
    table: Table,
    changes: tuple[RowChange, ...],
    current: _CurrentTable,
    nonce: str,
) -> _WriteResult | None:
    """Write `table`; return None if another write was accepted first."""
    key = TABLE_PREFIX + table.service
    if current.item is not None and current.table.members == table.members:
        pushed = session.push(current.item, current.balancers)
        report = WriteReport(
            key, WriteOutcome.UNCHANGED, current.table.version, pushed_to=pushed
        )
        return _WriteResult(report, current.table)
    names = tuple(change.server for change in changes)
    report = session.put(
        key, encode_body(table), current.item, current.balancers, names, nonce
    )
    if report is None:
        return None
    report = attrs.evolve(report, changes=changes)
    return _WriteResult(report, attrs.evolve(table, version=report.version))


def _refuse_stale_base(
    base: Table,
    changes: tuple[RowChange, ...],
    current: _CurrentTable,
    *,
    is_merging: bool,
) -> WriteReport | None:
    """Return the refusal of changes to an outdated table, or None to merge them."""
    key = TABLE_PREFIX + base.service
    if current.item is None:
        reason = "the table was deleted since the export"
        return WriteReport(key, WriteOutcome.REFUSED, reason=reason)
    writes = list_writes_since(current.item, base.version)
    theirs = compare_rows(base.members, current.table.members)
    conflicts = find_conflicts(changes, theirs, writes)
    if is_merging and not conflicts:
        return None
    version = current.table.version
    reason = f"exported as version {base.version}, now version {version}"
    if version <= base.version:
        reason += ": the platform was restored from an older copy"
    return WriteReport(
        key,
        WriteOutcome.REFUSED,
        reason=reason,
        changes=changes,
        conflicts=conflicts,
        writes_since=writes,
    )


def _read_current(
    session: OperatorSession, service: str
) -> Result[_CurrentTable, PlatformError]:
    result = session.client.list_objects()
    if result.is_err():
        return result
    objects = result.unwrap().objects
    key = TABLE_PREFIX + service
    item = next((item for item in objects if item.key == key), None)
    table = Ok(Table(service, "", 0, Protocol.TCP, ()))
    if item is not None:
        table = decode_body(item)
    zones = session.list_zones(objects)
    return table.map(
        lambda table: _CurrentTable(item, table, zones, list_balancers(objects))
    )


def _read_file(
    file: Path, zones: Collection[str] | None
) -> Result[tuple[Member, ...], tuple[TableError, ...]] | FailureReport:
    try:
        data = file.read_bytes()
    except OSError as error:
        return FailureReport(f"{file}: {error.strerror}", ExitCode.USAGE)
    return read_table_csv(data, file=str(file), zones=zones)


def _update_file(
    file: Path, written: _WriteResult | FailureReport
) -> WriteReport | FailureReport:
    """Update the file and its record to the accepted table, for further edits."""
    if isinstance(written, FailureReport):
        return written
    if written.report.exit_code is not ExitCode.OK:
        return written.report
    rows = _read_file(file, None)
    if not isinstance(rows, FailureReport) and rows.ok() != written.table.members:
        file.write_bytes(write_table_csv(written.table.members))
    _write_export_record(file, written.table)
    return written.report


def _write_export_record(file: Path, table: Table) -> None:
    document = json.dumps(attrs.asdict(ExportRecord(table)), indent=1)
    _get_record_path(file).write_text(document)


def _get_record_path(file: Path) -> Path:
    return file.with_name(file.name + RECORD_SUFFIX)


def _build_invalid_report(service: str, errors: tuple[TableError, ...]) -> WriteReport:
    key = TABLE_PREFIX + service
    return WriteReport(
        key, WriteOutcome.REFUSED, reason="the file has errors", errors=errors
    )
