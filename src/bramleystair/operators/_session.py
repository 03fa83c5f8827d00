"""State shared by the commands of one invocation."""

import datetime
import json
import uuid
from collections.abc import Callable, Iterable

import attrs

from bramleystair.operators._push import Balancer, push_object
from bramleystair.operators._reports import WriteOutcome, WriteReport
from bramleystair.store import (
    ErrorKind,
    PlatformClient,
    PlatformObject,
    WriteNote,
)

ZONE_PREFIX = "zone/"
ANNOUNCEMENT_PREFIXES = ("agent/", "balancer/")


def _get_time() -> str:
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")


def _create_nonce() -> str:
    return uuid.uuid4().hex


@attrs.frozen
class OperatorSession:
    """Platform client and editor of one invocation.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    editor : str
        Name recorded with each write.
    get_time : callable
        Returns the current time in ISO 8601.
    push : callable
        Sends an accepted object to balancers and returns their names.
    create_nonce : callable
        Returns a new nonce.
    """

    client: PlatformClient
    editor: str
    get_time: Callable[[], str] = _get_time
    push: Callable[[PlatformObject, Iterable[Balancer]], tuple[str, ...]] = push_object
    create_nonce: Callable[[], str] = _create_nonce

    def put(
        self,
        key: str,
        body: str,
        current: PlatformObject | None,
        balancers: Iterable[Balancer],
        changed: tuple[str, ...],
        nonce: str,
    ) -> WriteReport | None:
        """Write if the object is still `current`, and push it to balancers if accepted.

        Return None if another write was accepted first.
        """
        note = WriteNote(self.editor, self.get_time(), changed)
        result = self.client.put_verified(
            key,
            body,
            if_match=current.version if current else 0,
            nonce=nonce,
            note=note,
            previous=current,
        )
        if result.is_ok():
            version = result.unwrap().version
            written = PlatformObject(
                key, version, nonce, note, body=body, epoch=self.client.epoch
            )
            pushed = self.push(written, balancers)
            return WriteReport(key, WriteOutcome.ACCEPTED, version, pushed_to=pushed)
        error = result.unwrap_err()
        if error.kind is ErrorKind.CONFLICT:
            return None
        outcome = WriteOutcome.REFUSED if error.is_refusal else WriteOutcome.UNKNOWN
        return WriteReport(key, outcome, reason=str(error))

    def list_zones(self, objects: Iterable[PlatformObject]) -> frozenset[str]:
        """Return the availability zones named by marks, tables or announcements."""
        zones = set()
        for item in objects:
            if item.key.startswith(ZONE_PREFIX):
                zones.add(item.key.removeprefix(ZONE_PREFIX))
            elif item.key.startswith(ANNOUNCEMENT_PREFIXES):
                zones.add(_read_zone(item))
            elif item.key.startswith("table/"):
                zones |= _read_table_zones(item)
        return frozenset(zones - {""})


def _read_zone(item: PlatformObject) -> str:
    try:
        return str(json.loads(item.body)["zone"])
    except (ValueError, KeyError, TypeError):
        return ""


def _read_table_zones(item: PlatformObject) -> set[str]:
    try:
        return {str(row["zone"]) for row in json.loads(item.body)["members"]}
    except (ValueError, KeyError, TypeError):
        return set()
