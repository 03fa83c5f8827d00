"""Redirects: a home's entries that name the owners of flows at other members."""

from collections import Counter
from collections.abc import Callable

# Service number and name of the owning server; all redirects of a service to the same
# server share one tuple.
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
        self._owner_keys: dict[OwnerKey, OwnerKey] = {}
        self._counts: Counter[OwnerKey] = Counter()

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def get(self, service_id: int, flow: bytes) -> str:
        """Return the owning server of `flow`, or an empty string."""
        owner_key = self._current.get(flow)
        if owner_key is None:
            owner_key = self._previous.pop(flow, None)
            if owner_key is None:
                return ""
            self._current[flow] = owner_key
        return owner_key[1] if owner_key[0] == service_id else ""

    def count(self, service_id: int, server: str) -> int:
        """Return the number of a service's redirects to `server`."""
        return self._counts[service_id, server]

    def put(self, service_id: int, flow: bytes, server: str) -> None:
        """Store `server` as the owner of `flow`."""
        self.remove(flow)
        owner_key = (service_id, server)
        self._current[flow] = self._owner_keys.setdefault(owner_key, owner_key)
        self._counts[owner_key] += 1

    def remove(self, flow: bytes) -> None:
        """Remove the redirect of `flow`, if any."""
        owner_key = self._current.pop(flow, None) or self._previous.pop(flow, None)
        if owner_key is not None:
            self._counts[owner_key] -= 1

    def remove_if_owner(self, service_id: int, flow: bytes, server: str) -> None:
        """Remove the redirect of `flow` if it names `server`."""
        if self.get(service_id, flow) == server:
            self.remove(flow)

    def remove_owners(self, is_gone: Callable[[OwnerKey], bool]) -> None:
        """Remove all redirects to owners for which `is_gone` returns true."""
        gone = {key for key in self._owner_keys if is_gone(key)}
        if not gone:
            return
        self._current = _exclude(self._current, gone)
        self._previous = _exclude(self._previous, gone)
        for owner_key in gone:
            del self._owner_keys[owner_key]
            del self._counts[owner_key]

    def rotate(self) -> None:
        """Start a new period and remove the redirects unused for two periods."""
        self._previous = self._current
        self._current = {}
        used = set(self._previous.values())
        self._owner_keys = {key: key for key in self._owner_keys if key in used}
        self._counts = Counter(self._previous.values())

    def list_items(self) -> list[tuple[bytes, OwnerKey]]:
        """Return all flows with the service numbers and names of their owners."""
        return [*self._previous.items(), *self._current.items()]


def _exclude(
    redirects: dict[bytes, OwnerKey], gone: set[OwnerKey]
) -> dict[bytes, OwnerKey]:
    return {flow: key for flow, key in redirects.items() if key not in gone}
