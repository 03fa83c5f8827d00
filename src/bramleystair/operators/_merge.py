"""Comparison and three-way merge of table rows."""

from collections.abc import Sequence

from bramleystair.operators._reports import Conflict, RowChange
from bramleystair.store import PlatformObject, WriteRecord
from bramleystair.tables import Member


def compare_rows(
    before: Sequence[Member], after: Sequence[Member]
) -> tuple[RowChange, ...]:
    """Return the changes of rows that turn `before` into `after`."""
    old = {member.server: member for member in before}
    new = {member.server: member for member in after}
    return tuple(
        RowChange(server, old.get(server), new.get(server))
        for server in {**old, **new}
        if old.get(server) != new.get(server)
    )


def apply_changes(
    rows: Sequence[Member], changes: Sequence[RowChange]
) -> tuple[Member, ...]:
    """Return `rows` with `changes` applied; new rows are appended."""
    result = {member.server: member for member in rows}
    for change in changes:
        if change.after is None:
            result.pop(change.server, None)
        else:
            result[change.server] = change.after
    return tuple(result.values())


def find_conflicts(
    ours: Sequence[RowChange],
    theirs: Sequence[RowChange],
    writes: Sequence[WriteRecord],
) -> tuple[Conflict, ...]:
    """Return the rows that both sides changed differently, with their writes."""
    their_changes = {change.server: change for change in theirs}
    return tuple(
        Conflict(
            change, their_changes[change.server], _find_writes(change.server, writes)
        )
        for change in ours
        if change.server in their_changes
        and their_changes[change.server].after != change.after
    )


def list_writes_since(item: PlatformObject, version: int) -> tuple[WriteRecord, ...]:
    """Return the recorded writes after `version`, newest first."""
    return tuple(
        record for record in (item.record, *item.history) if record.version > version
    )


def _find_writes(server: str, writes: Sequence[WriteRecord]) -> tuple[WriteRecord, ...]:
    return tuple(write for write in writes if server in write.note.changed)
