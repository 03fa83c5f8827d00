"""Command-line interface of the operator's client."""

import csv
import getpass
import io
import os
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Literal

import defopt

from bramleystair.operators import _status, _tables, _zones
from bramleystair.operators._config import check_settings_file
from bramleystair.operators._reports import ExitCode, format_report
from bramleystair.operators._session import OperatorSession
from bramleystair.store import PlatformClient
from bramleystair.tables import Member, Protocol, write_table_csv

DEFAULT_PLATFORM = "http://127.0.0.1:7000"
DEFAULT_WATCH_TIMEOUT_S = 30.0

OutputFormat = Literal["text", "json"]


def main(argv: Sequence[str] | None = None) -> None:
    """Run the operator's client and exit with its code.

    Exit codes: 0 success; 1 refused, with certainty without effect; 2 usage error;
    3 the outcome of a write is unknown; 4 the platform or a node did not respond, and
    nothing was written.
    """
    commands = {
        "table": {
            "export": export_table,
            "edit": edit_table,
            "check": check_table,
            "diff": diff_table,
            "apply": apply_table,
            "create": create_table,
        },
        "zone": {"out": take_zone_out, "in": return_zone, "list": list_zones},
        "status": show_status,
        "watch": watch_changes,
        "config": {"check": check_config},
    }
    sys.exit(
        defopt.run(
            commands, argv=argv, no_negated_flags=True, cli_options="has_default"
        )
    )


def export_table(
    service: str,
    *,
    output: Path | None = None,
    platform: str = "",
    format: OutputFormat = "text",
) -> int:
    """Write a table to a CSV file, with a record of the exported version beside it.

    Parameters
    ----------
    service
        Service whose table is exported.
    output
        File to write; by default the service's name with .csv.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    format
        Output format.
    """
    file = output or Path(f"{service}.csv")
    return _print_report(
        _tables.export_table(_create_session(platform), service, file), format
    )


def edit_table(
    service: str,
    *,
    set: Sequence[str] = (),
    remove: Sequence[str] = (),
    platform: str = "",
    editor: str = "",
    format: OutputFormat = "text",
) -> int:
    """Change rows of a table directly, without a file.

    Parameters
    ----------
    service
        Service whose table is changed.
    set
        SERVER:COLUMN=VALUE; a row is added for a backend server without one.
    remove
        Backend servers whose rows are removed.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    editor
        Name recorded with the change; by default the login name.
    format
        Output format.
    """
    session = _create_session(platform, editor)
    report = _tables.edit_table(
        session, service, lambda rows: edit_rows(rows, set, remove)
    )
    return _print_report(report, format)


def check_table(
    file: Path,
    *,
    zone: Sequence[str] = (),
    platform: str = "",
    format: OutputFormat = "text",
) -> int:
    """Check a table file and print the line, column and value of each error.

    Parameters
    ----------
    file
        CSV file.
    zone
        Availability zones allowed in rows; by default those known to the platform.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    format
        Output format.
    """
    session = _create_session(platform)
    return _print_report(_tables.check_table(file, zone or None, session), format)


def diff_table(file: Path, *, platform: str = "", format: OutputFormat = "text") -> int:
    """Show how a table file differs from the table on the platform.

    Parameters
    ----------
    file
        CSV file of an export.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    format
        Output format.
    """
    return _print_report(_tables.diff_table(_create_session(platform), file), format)


def apply_table(
    file: Path,
    *,
    merge: bool = False,
    platform: str = "",
    editor: str = "",
    format: OutputFormat = "text",
) -> int:
    """Write an edited table, unless it was changed on the platform since the export.

    Parameters
    ----------
    file
        CSV file of an export.
    merge
        Merge the changes into a newer table, unless both change a row differently.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    editor
        Name recorded with the change; by default the login name.
    format
        Output format.
    """
    session = _create_session(platform, editor)
    return _print_report(_tables.apply_table(session, file, is_merging=merge), format)


def create_table(
    service: str,
    file: Path,
    *,
    address: str,
    port: int,
    protocol: Literal["tcp", "udp"],
    platform: str = "",
    editor: str = "",
    format: OutputFormat = "text",
) -> int:
    """Write the table of a new service.

    Parameters
    ----------
    service
        Name of the service.
    file
        CSV file with its rows.
    address
        IP address that callers use.
    port
        Port that callers use.
    protocol
        Transport of the service.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    editor
        Name recorded with the change; by default the login name.
    format
        Output format.
    """
    session = _create_session(platform, editor)
    report = _tables.create_table(
        session, service, address, port, Protocol[protocol.upper()], file
    )
    return _print_report(report, format)


def take_zone_out(
    zone: str, *, platform: str = "", editor: str = "", format: OutputFormat = "text"
) -> int:
    """Take an availability zone out of service and abort its open flows.

    Parameters
    ----------
    zone
        Availability zone.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    editor
        Name recorded with the change; by default the login name.
    format
        Output format.
    """
    session = _create_session(platform, editor)
    return _print_report(_zones.mark_zone(session, zone, is_in_service=False), format)


def return_zone(
    zone: str, *, platform: str = "", editor: str = "", format: OutputFormat = "text"
) -> int:
    """Return an availability zone to service.

    Parameters
    ----------
    zone
        Availability zone.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    editor
        Name recorded with the change; by default the login name.
    format
        Output format.
    """
    session = _create_session(platform, editor)
    return _print_report(_zones.mark_zone(session, zone, is_in_service=True), format)


def list_zones(*, platform: str = "", format: OutputFormat = "text") -> int:
    """List the availability zones and their marks.

    Parameters
    ----------
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    format
        Output format.
    """
    return _print_report(_zones.list_zone_marks(_create_session(platform)), format)


def show_status(
    *,
    endpoint: Sequence[str] = (),
    metrics_port: int = 0,
    platform: str = "",
    format: OutputFormat = "text",
) -> int:
    """Show the versions in force on each node, its load and its refusals.

    Parameters
    ----------
    endpoint
        HOST:PORT of metrics ports; by default those of the announced nodes.
    metrics_port
        Metrics port of the announced nodes; 0 for the defaults of the settings.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    format
        Output format.
    """
    session = _create_session(platform)
    report = _status.read_status(session, endpoint, metrics_port=metrics_port)
    return _print_report(report, format)


def watch_changes(
    *,
    prefix: str = "",
    count: int = 0,
    platform: str = "",
    format: OutputFormat = "text",
) -> int:
    """Print each change on the platform as it is accepted.

    Parameters
    ----------
    prefix
        Show only objects whose keys start with this prefix.
    count
        Stop after this number of changes; 0 runs until interrupted.
    platform
        URL of the platform; by default from BRAMLEYSTAIR_PLATFORM.
    format
        Output format.
    """
    session = _create_session(platform)
    changes = _status.watch_changes(session, prefix, DEFAULT_WATCH_TIMEOUT_S)
    for number, change in enumerate(changes, 1):
        code = _print_report(change, format)
        if code or number == count:
            return code
    return ExitCode.OK


def check_config(file: Path, *, format: OutputFormat = "text") -> int:
    """Check a settings file and print each invalid option.

    Parameters
    ----------
    file
        Settings file of a balancer or agent.
    format
        Output format.
    """
    return _print_report(check_settings_file(file), format)


def edit_rows(
    rows: Iterable[Member], assignments: Sequence[str], removed: Sequence[str]
) -> bytes:
    """Return `rows` as CSV with rows removed and SERVER:COLUMN=VALUE assigned."""
    text = write_table_csv(rows).decode("utf-8-sig")
    reader = csv.DictReader(io.StringIO(text, newline=""))
    cells = {row["server"]: row for row in reader}
    columns = list(reader.fieldnames or ())
    for server in removed:
        cells.pop(server, None)
    for assignment in assignments:
        target, _, value = assignment.partition("=")
        server, _, column = target.rpartition(":")
        if column not in columns:
            allowed = ", ".join(columns)
            print(f"--set {assignment}: the column must be one of {allowed}")
            raise SystemExit(int(ExitCode.USAGE))
        row = cells.setdefault(server, dict.fromkeys(columns, "") | {"server": server})
        row[column] = value
    output = io.StringIO()
    writer = csv.DictWriter(output, columns)
    writer.writeheader()
    writer.writerows(cells.values())
    return output.getvalue().encode()


def _create_session(platform: str, editor: str = "") -> OperatorSession:
    url = platform or os.environ.get("BRAMLEYSTAIR_PLATFORM", DEFAULT_PLATFORM)
    return OperatorSession(PlatformClient(url), editor or getpass.getuser())


def _print_report(report: object, output_format: OutputFormat) -> int:
    print(format_report(report, output_format))
    return int(report.exit_code)
