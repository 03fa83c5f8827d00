"""Commands on availability zone marks."""

from bramleystair.operators._bodies import decode_body, encode_body
from bramleystair.operators._merge import list_writes_since
from bramleystair.operators._push import list_balancers
from bramleystair.operators._reports import (
    FailureReport,
    WriteOutcome,
    WriteReport,
    ZoneReport,
    ZoneState,
)
from bramleystair.operators._session import ZONE_PREFIX, OperatorSession
from bramleystair.store import PlatformObject
from bramleystair.tables import ZoneMark


def list_zone_marks(session: OperatorSession) -> ZoneReport | FailureReport:
    """Return the known availability zones and their marks."""
    result = session.client.list_objects()
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    objects = result.unwrap().objects
    items = {item.key: item for item in objects}
    states = []
    for zone in sorted(session.list_zones(objects)):
        item = items.get(ZONE_PREFIX + zone)
        state = _read_state(zone, item)
        if isinstance(state, FailureReport):
            return state
        states.append(state)
    return ZoneReport(tuple(states))


def mark_zone(
    session: OperatorSession, zone: str, *, is_in_service: bool
) -> WriteReport | FailureReport:
    """Take an availability zone out of service or return it.

    If another operator writes the mark at the same time, one of the two writes is
    refused with the name of the other writer, so that no accepted mark is silently
    lost.
    """
    key = ZONE_PREFIX + zone
    result = session.client.list_objects()
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    objects = result.unwrap().objects
    zones = session.list_zones(objects)
    if zone not in zones:
        known = ", ".join(sorted(zones)) or "none"
        reason = f"unknown availability zone; known: {known}"
        return WriteReport(key, WriteOutcome.REFUSED, reason=reason)
    current = next((item for item in objects if item.key == key), None)
    balancers = list_balancers(objects)
    if current is not None:
        mark = decode_body(current)
        if mark.is_ok() and mark.unwrap().is_in_service == is_in_service:
            pushed = session.push(current, balancers)
            return WriteReport(
                key, WriteOutcome.UNCHANGED, current.version, pushed_to=pushed
            )
    body = encode_body(ZoneMark(zone, is_in_service))
    nonce = session.create_nonce()
    report = session.put(key, body, current, balancers, (zone,), nonce)
    return report or _report_conflict(session, key, current)


def _report_conflict(
    session: OperatorSession, key: str, before: PlatformObject | None
) -> WriteReport:
    result = session.client.get_object(key)
    version = before.version if before else 0
    writes = result.map(lambda item: list_writes_since(item, version)).unwrap_or(())
    reason = "another operator changed the zone mark at the same time"
    return WriteReport(key, WriteOutcome.REFUSED, reason=reason, writes_since=writes)


def _read_state(zone: str, item: PlatformObject | None) -> ZoneState | FailureReport:
    if item is None:
        return ZoneState(zone, True, 0)
    result = decode_body(item)
    if result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    mark = result.unwrap()
    note = item.note
    return ZoneState(zone, mark.is_in_service, item.version, note.editor, note.time)
