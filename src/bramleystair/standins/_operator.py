"""Changes that the demonstration makes as an operator does."""

import socket

from bramleystair.standins import _deployments as place
from bramleystair.tables import Table, ZoneMark, build_key, encode_object
from bramleystair.wire import Objects, StoredObject, encode


class Operator:
    """Push changes to two balancers; the platform's client is not merged yet."""

    def __init__(self, url: str) -> None:
        self._version = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def is_up(self) -> bool:
        """Return whether the platform answers."""
        return True

    def put_table(self, table: Table) -> int:
        """Write `table` and return its version."""
        return self._put(table)

    def put_zone(self, zone: str, is_in_service: bool) -> int:
        """Write the mark of `zone` and return its version."""
        return self._put(ZoneMark(zone, is_in_service))

    def _put(self, item) -> int:
        self._version += 1
        stored = StoredObject(build_key(item), self._version, "", encode_object(item))
        for number in (2, 3):
            address = (place.BALANCER_HOST.format(number), place.MESSAGE_PORT)
            data = encode("operator", 1, Objects((stored,)))
            self._socket.sendto(data, address)
        return self._version
