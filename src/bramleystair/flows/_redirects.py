"""Redirects that a home holds for flows owned by other members."""

from collections import Counter
from collections.abc import Callable

# Service number and owning server; one tuple is shared by all redirects to the owner.
OwnerKey = tuple[int, str]


class RedirectTable:
    """Map flows to their owners; entries unused for two periods are removed.

    A stale entry, left by a lost `RedirectDrop` or by a home that changed, is harmless
    because its owner refuses the flow; expiry only bounds the memory. An entry takes
    about 100 bytes, because owner keys are shared.
    """

    def __init__(self) -> None:
        self._current: dict[bytes, OwnerKey] = {}
        self._previous: dict[bytes, OwnerKey] = {}
        self._owners: dict[OwnerKey, OwnerKey] = {}
        self._counts: Counter[OwnerKey] = Counter()

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def get(self, service_id: int, flow: bytes) -> str:
        """Return the owner of `flow`, or an empty string."""
        owner = self._current.get(flow)
        if owner is None:
            owner = self._previous.pop(flow, None)
            if owner is None:
                return ""
            self._current[flow] = owner
        return owner[1] if owner[0] == service_id else ""

    def count(self, service_id: int, server: str) -> int:
        """Return the number of redirects to `server`."""
        return self._counts[service_id, server]

    def put(self, service_id: int, flow: bytes, server: str) -> None:
        """Store `server` as the owner of `flow`."""
        self.remove(flow)
        owner = (service_id, server)
        self._current[flow] = self._owners.setdefault(owner, owner)
        self._counts[owner] += 1

    def remove(self, flow: bytes) -> None:
        """Remove the redirect of `flow`, if any."""
        owner = self._current.pop(flow, None) or self._previous.pop(flow, None)
        if owner is not None:
            self._counts[owner] -= 1

    def remove_if_owner(self, service_id: int, flow: bytes, server: str) -> None:
        """Remove the redirect of `flow` if it names `server`."""
        if self.get(service_id, flow) == server:
            self.remove(flow)

    def remove_owners(self, is_gone: Callable[[OwnerKey], bool]) -> None:
        """Remove all redirects to owners for which `is_gone` returns true."""
        gone = {owner for owner in self._owners if is_gone(owner)}
        if not gone:
            return
        self._current = _exclude(self._current, gone)
        self._previous = _exclude(self._previous, gone)
        for owner in gone:
            del self._owners[owner]
            del self._counts[owner]

    def rotate(self) -> None:
        """Start a new period and remove the redirects unused for two periods."""
        self._previous = self._current
        self._current = {}
        used = set(self._previous.values())
        self._owners = {owner: owner for owner in self._owners if owner in used}
        self._counts = Counter(self._previous.values())

    def list_items(self) -> list[tuple[bytes, OwnerKey]]:
        """Return all flows with their owners."""
        return [*self._previous.items(), *self._current.items()]


def _exclude(
    redirects: dict[bytes, OwnerKey], gone: set[OwnerKey]
) -> dict[bytes, OwnerKey]:
    return {flow: owner for flow, owner in redirects.items() if owner not in gone}
