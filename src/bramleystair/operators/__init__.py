"""Command-line client for operators."""

from bramleystair.operators._cli import main
from bramleystair.operators._reports import ExitCode, WriteOutcome
from bramleystair.operators._session import OperatorSession
from bramleystair.operators._status import read_status, watch_changes
from bramleystair.operators._tables import (
    apply_table,
    check_table,
    create_table,
    diff_table,
    edit_table,
    export_table,
)
from bramleystair.operators._zones import list_zone_marks, mark_zone

__all__ = [
    "ExitCode",
    "OperatorSession",
    "WriteOutcome",
    "apply_table",
    "check_table",
    "create_table",
    "diff_table",
    "edit_table",
    "export_table",
    "list_zone_marks",
    "main",
    "mark_zone",
    "read_status",
    "watch_changes",
]
