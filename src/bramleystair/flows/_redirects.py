"""Redirects held at the home of flows that others own."""

from collections import Counter
from collections.abc import Callable

# Owner of a redirect: the service and the server, shared by all redirects to it.
Owner = tuple[int, str]


class Redirects:
    """Map flows to their owners; entries unused for two periods are removed.

    An entry left behind by a lost `RedirectDrop` or by a home that moved is harmless,
    because its owner refuses it; the periods only bound the memory. An entry takes
    about 100 bytes, as owners are shared.
    """

    def __init__(self) -> None:
        self._recent: dict[bytes, Owner] = {}
        self._older: dict[bytes, Owner] = {}
        self._owners: dict[Owner, Owner] = {}
        self._counts: Counter[Owner] = Counter()

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)

    def get(self, service_id: int, flow: bytes) -> str:
        """Return the owner of `flow`, or an empty string."""
        owner = self._recent.get(flow)
        if owner is None:
            owner = self._older.pop(flow, None)
            if owner is None:
                return ""
            self._recent[flow] = owner
        return owner[1] if owner[0] == service_id else ""

    def count(self, service_id: int, server: str) -> int:
        """Return the number of redirects to `server`."""
        return self._counts[service_id, server]

    def put(self, service_id: int, flow: bytes, server: str) -> None:
        """Name `server` as the owner of `flow`."""
        self.remove(flow)
        owner = (service_id, server)
        self._recent[flow] = self._owners.setdefault(owner, owner)
        self._counts[owner] += 1

    def remove(self, flow: bytes) -> None:
        """Remove the redirect of `flow`, if any."""
        owner = self._recent.pop(flow, None) or self._older.pop(flow, None)
        if owner is not None:
            self._counts[owner] -= 1

    def drop(self, service_id: int, flow: bytes, server: str) -> None:
        """Remove the redirect of `flow` if it names `server`."""
        if self.get(service_id, flow) == server:
            self.remove(flow)

    def drop_owners(self, is_gone: Callable[[Owner], bool]) -> None:
        """Remove all redirects to owners for which `is_gone` returns true."""
        gone = {owner for owner in self._owners if is_gone(owner)}
        if not gone:
            return
        self._recent = _exclude(self._recent, gone)
        self._older = _exclude(self._older, gone)
        for owner in gone:
            del self._owners[owner]
            del self._counts[owner]

    def rotate(self) -> None:
        """Start a new period."""
        self._older = self._recent
        self._recent = {}
        used = set(self._older.values())
        self._owners = {owner: owner for owner in self._owners if owner in used}
        self._counts = Counter(self._older.values())

    def list_items(self) -> list[tuple[bytes, Owner]]:
        """Return all flows with their owners."""
        return [*self._older.items(), *self._recent.items()]


def _exclude(redirects: dict[bytes, Owner], gone: set[Owner]) -> dict[bytes, Owner]:
    return {flow: owner for flow, owner in redirects.items() if owner not in gone}
