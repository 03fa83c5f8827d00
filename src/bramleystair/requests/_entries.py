"""Ledger entries and their retention."""

import collections
import enum
import heapq

import attrs


class State(enum.IntEnum):
    """State of a ledger entry.

    A valid ticket without an entry is reserved: its request has not started.
    """

    RUNNING = 1
    DONE = 2
    FENCED = 3
    CANCELLED = 4


@attrs.frozen
class Waiter:
    """Balancer that waits for the outcome of a request, with its request ID."""

    peer: str
    request_id: int


@attrs.define
class Entry:
    """Ledger record of one request.

    Parameters
    ----------
    not_run : bool
        Whether the request has not run and never will.
    reason : str
        Why there is no response; empty if there is one or the request still runs.
    is_at_backend : bool
        Whether the backend server may still be processing the request.
    load_at_start : int
        Concurrent requests at the backend server when this one started, including it.
    body_hash : int
        Hash of the request body, to detect reuse of the ticket with a different body.
    """

    state: State
    service_id: int
    not_run: bool = False
    reason: str = ""
    is_at_backend: bool = False
    started_s: float = 0.0
    load_at_start: int = 0
    body_hash: int = 0
    waiters: tuple[Waiter, ...] = ()
    status: int = 0
    body: bytes = b""
    content_type: str = ""
    digest: bytes = b""


class EntryStore:
    """Store ledger entries until they expire and a bounded volume of responses.

    Parameters
    ----------
    max_kept_bytes : int
        Maximum total size of response bodies; the oldest are dropped first.
    """

    def __init__(self, max_kept_bytes: int) -> None:
        self._max_kept_bytes = max_kept_bytes
        self._kept_bytes = 0
        self._entries: dict[bytes, Entry] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._deadlines: list[tuple[float, bytes, bytes]] = []
        self._responses: collections.deque[bytes] = collections.deque()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def get(self, nonce: bytes) -> Entry | None:
        """Return the entry of the ticket with `nonce`, or None."""
        return self._entries.get(nonce)

    def add(self, nonce: bytes, entry: Entry, until_s: float) -> None:
        """Store `entry` until `until_s`, or longer if its request still runs then."""
        self._entries[nonce] = entry
        heapq.heappush(self._expiries, (until_s, nonce))

    def set_deadline(self, nonce: bytes, ticket: bytes, deadline_at_s: float) -> None:
        """Make `pop_overdue` return the request if it still runs at `deadline_at_s`."""
        heapq.heappush(self._deadlines, (deadline_at_s, nonce, ticket))

    def keep_response(self, nonce: bytes, entry: Entry) -> int:
        """Account for the response of `entry`; return how many others were dropped."""
        self._kept_bytes += len(entry.body)
        self._responses.append(nonce)
        dropped = 0
        while self._kept_bytes > self._max_kept_bytes and len(self._responses) > 1:
            oldest = self._entries.get(self._responses.popleft())
            if oldest is None:
                continue
            self._kept_bytes -= len(oldest.body)
            oldest.body = b""
            oldest.reason = "response_dropped"
            dropped += 1
        return dropped

    def pop_overdue(self, now: float) -> list[tuple[bytes, Entry]]:
        """Remove and return running requests past their deadline: ticket and entry."""
        overdue = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, nonce, ticket = heapq.heappop(self._deadlines)
            entry = self._entries.get(nonce)
            if entry is not None and entry.state is State.RUNNING:
                overdue.append((ticket, entry))
        return overdue

    def list_running(self) -> list[tuple[bytes, Entry]]:
        """Return the running requests: ticket and entry."""
        tickets = {nonce: ticket for _, nonce, ticket in self._deadlines}
        return [
            (ticket, self._entries[nonce])
            for nonce, ticket in tickets.items()
            if nonce in self._entries and self._entries[nonce].state is State.RUNNING
        ]

    def drop_expired(self, now: float, retry_s: float) -> None:
        """Remove expired entries, except those of requests still at the backend server.

        The latter are checked again after `retry_s`.
        """
        while self._expiries and self._expiries[0][0] <= now:
            _, nonce = heapq.heappop(self._expiries)
            entry = self._entries[nonce]
            if entry.is_at_backend:
                heapq.heappush(self._expiries, (now + retry_s, nonce))
                continue
            self._kept_bytes -= len(entry.body)
            del self._entries[nonce]
        while self._responses and self._responses[0] not in self._entries:
            self._responses.popleft()

    def list_all(self) -> list[tuple[bytes, float, Entry]]:
        """Return all entries: nonce, end of retention in seconds, entry."""
        return [
            (nonce, until_s, self._entries[nonce]) for until_s, nonce in self._expiries
        ]
