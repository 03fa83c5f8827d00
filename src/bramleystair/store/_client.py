"""HTTP client of the platform with retries and recognition of lost answers."""

import collections
import functools
import random
import time
import uuid
from collections.abc import Callable
from urllib.parse import quote

import attrs
import requests
from result import Err, Ok, Result

from bramleystair.logs import get_logger
from bramleystair.store._types import (
    HISTORY_LENGTH,
    Accepted,
    Changes,
    ErrorKind,
    Listing,
    PlatformError,
    PlatformObject,
    WriteNote,
    structure_answer,
)

log = get_logger("platform")

# A watch answers after its own timeout; this covers the way there and back.
WATCH_MARGIN_S = 2.0
NO_NOTE = WriteNote()
RETRIED_KINDS = frozenset(
    {ErrorKind.RATE_LIMITED, ErrorKind.UNREACHABLE, ErrorKind.MALFORMED}
)
KINDS_BY_STATUS = {
    404: ErrorKind.NOT_FOUND,
    409: ErrorKind.CONFLICT,
    410: ErrorKind.CURSOR_EXPIRED,
    412: ErrorKind.CONFLICT,
    429: ErrorKind.RATE_LIMITED,
}


@attrs.frozen
class RetryPolicy:
    """Bounds of the retries of one client.

    Parameters
    ----------
    attempts : int
        Most attempts of one call.
    base_s, max_s : float
        First and longest delay between attempts; each is jittered.
    budget_ratio : float
        Retries allowed for each call.
    budget_max : float
        Most retries that can be saved up.
    """

    attempts: int = 4
    base_s: float = 0.1
    max_s: float = 5.0
    budget_ratio: float = 0.1
    budget_max: float = 10.0

    def compute_delay(self, attempt: int, source: random.Random) -> float:
        """Return the jittered delay in seconds after `attempt` (from 0)."""
        limit_s = min(self.max_s, self.base_s * 2**attempt)
        return source.uniform(limit_s / 2, limit_s)


class PlatformClient:
    """Read, write and watch objects of the platform.

    Parameters
    ----------
    base_url : str
        URL of the platform, with a numeric address.
    session : requests.Session, optional
        Session for all calls; tests pass a substitute.
    timeout_s : float
        Longest wait for an answer in seconds.
    retry : RetryPolicy
        Bounds of the retries.
    wait : callable
        Called with the delay in seconds before a retry.
    source : random.Random, optional
        Source of the jitter.

    Attributes
    ----------
    calls : Counter of (str, str)
        Attempts by method name and outcome; a watch is counted like any other call.
    """

    def __init__(
        self,
        base_url: str,
        *,
        session: requests.Session | None = None,
        timeout_s: float = 5.0,
        retry: RetryPolicy | None = None,
        wait: Callable[[float], None] = time.sleep,
        source: random.Random | None = None,
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self._session = session or _create_session()
        self._timeout_s = timeout_s
        self._retry = retry or RetryPolicy()
        self._wait = wait
        self._source = source or random.Random()
        self._budget = self._retry.budget_max

    def list_objects(self, prefix: str = "") -> Result[Listing, PlatformError]:
        """Return the objects whose key starts with `prefix`."""
        return self._call_retried(
            "list", "GET", "/objects", Listing, {"prefix": prefix}
        )

    def get_object(self, key: str) -> Result[PlatformObject, PlatformError]:
        """Return the object `key`; the error kind of a missing one is NOT_FOUND."""
        return self._call_retried("get", "GET", _build_path(key), PlatformObject)

    def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> Result[Changes, PlatformError]:
        """Return the changes after the cursor `since`, waiting for up to `timeout_s`.

        After CURSOR_EXPIRED the caller lists again. A watch is never retried here:
        its caller decides whether the change is still of interest.
        """
        query = {"prefix": prefix, "since": since, "timeout_s": timeout_s}
        limit_s = timeout_s + self._timeout_s + WATCH_MARGIN_S
        return self._call(
            "watch", "GET", "/watch", Changes, params=query, timeout_s=limit_s
        )

    def put_object(
        self,
        key: str,
        body: str,
        *,
        if_match: int | None = None,
        nonce: str = "",
        note: WriteNote = NO_NOTE,
        previous: PlatformObject | None = None,
        lease_s: float = 0.0,
    ) -> Result[Accepted, PlatformError]:
        """Write once, without retry; see `put_verified` for the parameters."""
        document = {"nonce": nonce, "note": attrs.asdict(note), "body": body}
        document["history"] = _build_history(if_match, previous)
        document["lease_s"] = lease_s
        return self._call(
            "put",
            "PUT",
            _build_path(key),
            Accepted,
            json=document,
            headers=_build_condition(if_match),
        )

    def put_verified(
        self,
        key: str,
        body: str,
        *,
        if_match: int | None = None,
        nonce: str | None = None,
        note: WriteNote = NO_NOTE,
        previous: PlatformObject | None = None,
        lease_s: float = 0.0,
    ) -> Result[Accepted, PlatformError]:
        """Write, and after a lost answer find out whether the write took effect.

        Parameters
        ----------
        key, body : str
            Object and its new content.
        if_match : int or None
            Version that must be the present one; 0 when the object must not exist,
            None to write unconditionally.
        nonce : str or None
            Identifies this write; generated when None.
        note : WriteNote
            Who makes the change and when, kept in the object.
        previous : PlatformObject or None
            The object of version `if_match`, whose history is carried on.
        lease_s : float
            Time after which the platform deletes the object unless it is written
            again, in seconds; 0 keeps it.

        Returns
        -------
        Result of Accepted or PlatformError
            A refusal is certain to have had no effect; UNKNOWN_OUTCOME says that the
            write may have taken effect or may still do so.
        """
        nonce = nonce or uuid.uuid4().hex
        write = functools.partial(
            self.put_object,
            key,
            body,
            if_match=if_match,
            nonce=nonce,
            note=note,
            previous=previous,
            lease_s=lease_s,
        )
        self._earn_retry()
        is_uncertain = False
        for attempt in range(self._retry.attempts):
            result = write()
            if result.is_ok():
                return result
            error = result.unwrap_err()
            if not error.is_refusal:
                is_uncertain = True
            elif not is_uncertain and error.kind is not ErrorKind.RATE_LIMITED:
                return result
            verdict = self._read_back(key, if_match, nonce) if is_uncertain else None
            if verdict is not None:
                return verdict
            is_last = attempt + 1 == self._retry.attempts
            if is_last or not self._pause(attempt, error):
                break
        return Err(_build_unknown(key, error)) if is_uncertain else result

    def delete_object(
        self, key: str, *, if_match: int | None = None
    ) -> Result[Accepted, PlatformError]:
        """Delete the object `key` and return the version of its tombstone."""
        headers = _build_condition(if_match)
        return self._call(
            "delete", "DELETE", _build_path(key), Accepted, headers=headers
        )

    def _read_back(
        self, key: str, if_match: int | None, nonce: str
    ) -> Result[Accepted, PlatformError] | None:
        """Return the outcome of an uncertain write, or None when it may be repeated."""
        result = self.get_object(key)
        if result.is_err():
            return None
        present = result.unwrap()
        written = present.find_write(nonce)
        if written is not None:
            log.debug("recognised the write of %s as version %d", key, written.version)
            return Ok(Accepted(written.version))
        if if_match is None or present.version == if_match:
            return None
        # The history has no gaps: when it reaches back to the expected version, every
        # write since then is known and this one is not among them. It cannot take
        # effect later either, because versions never return. Version 0 also stands
        # for a deleted object, whose earlier writes the history does not show.
        if if_match and any(past.version == if_match for past in present.history):
            return Err(_build_conflict(key, present))
        return Err(_build_unknown(key, None))

    def _call_retried(
        self,
        name: str,
        method: str,
        path: str,
        kind: type,
        params: dict[str, object] | None = None,
    ) -> Result:
        self._earn_retry()
        result = self._call(name, method, path, kind, params=params)
        for attempt in range(self._retry.attempts - 1):
            if result.is_ok() or result.unwrap_err().kind not in RETRIED_KINDS:
                return result
            if not self._pause(attempt, result.unwrap_err()):
                return result
            result = self._call(name, method, path, kind, params=params)
        return result

    def _earn_retry(self) -> None:
        earned = self._budget + self._retry.budget_ratio
        self._budget = min(self._retry.budget_max, earned)

    def _pause(self, attempt: int, error: PlatformError) -> bool:
        """Wait before a retry; return False when the budget is used up."""
        if self._budget < 1.0:
            self.calls["retry", "budget_used"] += 1
            return False
        self._budget -= 1.0
        self.calls["retry", str(error.kind)] += 1
        delay_s = self._retry.compute_delay(attempt, self._source)
        self._wait(max(delay_s, error.retry_after_s))
        return True

    def _call(
        self,
        name: str,
        method: str,
        path: str,
        kind: type,
        *,
        timeout_s: float | None = None,
        **options: object,
    ) -> Result:
        step = f"{name} {path}"
        try:
            response = self._session.request(
                method,
                self.base_url + path,
                timeout=timeout_s or self._timeout_s,
                **options,
            )
        except (requests.RequestException, OSError) as error:
            detail = f"no complete answer: {type(error).__name__}"
            result = Err(
                PlatformError(step, self.base_url, detail, ErrorKind.UNREACHABLE)
            )
        else:
            result = self._read_response(step, response, kind)
        outcome = "ok" if result.is_ok() else str(result.unwrap_err().kind)
        self.calls[name, outcome] += 1
        return result

    def _read_response(
        self, step: str, response: requests.Response, kind: type
    ) -> Result:
        status = response.status_code
        if status >= 500:
            detail = f"the platform failed with status {status}"
            return Err(
                PlatformError(step, self.base_url, detail, ErrorKind.UNREACHABLE)
            )
        if status >= 400:
            return Err(self._read_refusal(step, response))
        try:
            data = response.json()
        except (ValueError, RecursionError, requests.RequestException):
            return Err(self._build_malformed(step, "the answer is not JSON"))
        if status != 200:
            return Err(self._build_malformed(step, f"unexpected status {status}"))
        result = structure_answer(data, kind)
        return result.map_err(lambda detail: self._build_malformed(step, detail))

    def _read_refusal(self, step: str, response: requests.Response) -> PlatformError:
        kind = KINDS_BY_STATUS.get(response.status_code, ErrorKind.REFUSED)
        detail = f"refused with status {response.status_code}"
        retry_after_s = _read_seconds(response.headers.get("Retry-After", ""))
        return PlatformError(step, self.base_url, detail, kind, retry_after_s)

    def _build_malformed(self, step: str, detail: str) -> PlatformError:
        return PlatformError(step, self.base_url, detail, ErrorKind.MALFORMED)


def _create_session() -> requests.Session:
    session = requests.Session()
    # Proxies and credentials of the environment are not meant for the platform.
    session.trust_env = False
    return session


def _build_path(key: str) -> str:
    return "/objects/" + quote(key)


def _build_condition(if_match: int | None) -> dict[str, str]:
    return {} if if_match is None else {"If-Match": str(if_match)}


def _build_history(
    if_match: int | None, previous: PlatformObject | None
) -> list[dict[str, object]]:
    # An unconditional write may follow others, and the chain would have a gap.
    if previous is None or if_match != previous.version:
        return []
    records = (previous.record, *previous.history)[:HISTORY_LENGTH]
    return [attrs.asdict(record) for record in records]


def _build_conflict(key: str, present: PlatformObject) -> PlatformError:
    detail = (
        f"version {present.version} was written by {present.note.editor or 'another'}"
    )
    return PlatformError("put " + key, "platform", detail, ErrorKind.CONFLICT)


def _build_unknown(key: str, error: PlatformError | None) -> PlatformError:
    detail = "the write may or may not have taken effect"
    if error is not None:
        detail += f" ({error.detail})"
    return PlatformError("put " + key, "platform", detail, ErrorKind.UNKNOWN_OUTCOME)


def _read_seconds(text: str) -> float:
    return float(text) if text.isascii() and text.isdigit() else 0.0
