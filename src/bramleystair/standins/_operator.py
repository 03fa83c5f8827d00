"""Configuration changes that the demonstration makes."""

from bramleystair.operators._push import list_balancers
from bramleystair.operators._reports import WriteOutcome, WriteReport
from bramleystair.operators._session import OperatorSession
from bramleystair.store import ErrorKind, PlatformClient
from bramleystair.tables import Table, ZoneMark, build_key, encode_object

EDITOR = "demo"


class Operator:
    """Write tables and zone marks like the operator's client, with push.

    Parameters
    ----------
    url : str
        URL of the platform.
    """

    def __init__(self, url: str) -> None:
        self._client = PlatformClient(url)
        self._session = OperatorSession(self._client, EDITOR)

    def is_up(self) -> bool:
        """Return whether the platform is reachable."""
        return self._client.list_objects().is_ok()

    def put_table(self, table: Table) -> int:
        """Write `table` and return its version."""
        return self._put(table)

    def put_zone(self, zone: str, is_in_service: bool) -> int:
        """Write the zone mark of `zone` and return its version."""
        return self._put(ZoneMark(zone, is_in_service))

    def _put(self, item: Table | ZoneMark) -> int:
        key = build_key(item)
        found = self._client.get_object(key)
        if found.is_err() and found.unwrap_err().kind is not ErrorKind.NOT_FOUND:
            raise RuntimeError(str(found.unwrap_err()))
        report = self._session.put(
            key,
            encode_object(item).decode(),
            found.unwrap_or(None),
            list_balancers(self._client.list_objects("balancer/").unwrap().objects),
            (),
            self._session.create_nonce(),
        )
        return _read_version(report)


def _read_version(report: WriteReport | None) -> int:
    if report is None or report.outcome is not WriteOutcome.ACCEPTED:
        raise RuntimeError(f"write not accepted: {report}")
    return report.version
