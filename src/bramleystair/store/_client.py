"""HTTP client of the platform with retries and verification of uncertain writes."""

import collections
import functools
import random
import time
import uuid
from collections.abc import Callable, Mapping
from urllib.parse import quote

import attrs
import requests
from result import Err, Ok, Result

from bramleystair.documents import load_document
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
    parse_response,
)

log = get_logger("platform")

# Added to the timeout of a watch to cover the network round trip.
WATCH_TIMEOUT_MARGIN_S = 2.0
# Levels of nesting above the fields of an object in a response.
DOCUMENT_LEVELS = 3
EMPTY_NOTE = WriteNote()
# Number of times that the platform was restored from an older copy.
EPOCH_HEADER = "Store-Epoch"
RETRYABLE_KINDS = frozenset(
    {ErrorKind.RATE_LIMITED, ErrorKind.UNREACHABLE, ErrorKind.MALFORMED}
)
ERROR_KINDS_BY_STATUS = {
    404: ErrorKind.NOT_FOUND,
    409: ErrorKind.CONFLICT,
    410: ErrorKind.CURSOR_EXPIRED,
    412: ErrorKind.CONFLICT,
    429: ErrorKind.RATE_LIMITED,
}


@attrs.frozen
class RetryPolicy:
    """Limits and delays of the retries of a client.

    Parameters
    ----------
    attempts : int
        Maximum number of attempts per call.
    base_s, max_s : float
        Initial and maximum delay between attempts in seconds, before jitter.
    budget_ratio : float
        Retries that each call adds to the retry budget.
    budget_max : float
        Maximum and initial retry budget.
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
        URL of the platform, with an IP address as the host.
    session : requests.Session, optional
        HTTP session for all calls; tests pass a fake.
    timeout_s : float
        Response timeout in seconds.
    retry : RetryPolicy
        Limits and delays of retries.
    wait : callable
        Called with the delay in seconds before a retry.
    source : random.Random, optional
        Source of the jitter.

    Attributes
    ----------
    calls : Counter of (str, str)
        Number of attempts by method and outcome, including watches.
    epoch : int
        Highest epoch of the platform that a response has shown. It rises each time that
        the platform is restored from an older copy, and versions and cursors of
        different epochs must not be compared.
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
        self.epoch = 0
        self._session = session or _create_session()
        self._timeout_s = timeout_s
        self._retry = retry or RetryPolicy()
        self._wait = wait
        self._random = source or random.Random()
        self._retry_budget = self._retry.budget_max

    def list_objects(self, prefix: str = "") -> Result[Listing, PlatformError]:
        """Return the objects whose key starts with `prefix`."""
        return self._call_with_retries(
            "list", "GET", "/objects", Listing, {"prefix": prefix}
        )

    def get_object(self, key: str) -> Result[PlatformObject, PlatformError]:
        """Return the object `key`; the error kind is NOT_FOUND if it does not exist."""
        return self._call_with_retries(
            "get", "GET", _build_object_path(key), PlatformObject
        )

    def watch(
        self, prefix: str, since: int, timeout_s: float, epoch: int = 0
    ) -> Result[Changes, PlatformError]:
        """Return the changes after the cursor `since`, waiting up to `timeout_s`.

        After CURSOR_EXPIRED, the objects have to be listed again; this includes a
        cursor of an `epoch` other than the platform's present one. A watch is not
        retried here, because only the code that calls it knows whether the changes are
        still needed.
        """
        query = {"prefix": prefix, "since": since, "timeout_s": timeout_s}
        limit_s = timeout_s + self._timeout_s + WATCH_TIMEOUT_MARGIN_S
        result = self._call(
            "watch", "GET", "/watch", Changes, params=query, timeout_s=limit_s
        )
        if result.is_ok() and result.unwrap().epoch != epoch:
            detail = f"the cursor is from epoch {epoch} of the platform"
            return Err(
                PlatformError("watch", self.base_url, detail, ErrorKind.CURSOR_EXPIRED)
            )
        return result

    def put_object(
        self,
        key: str,
        body: str,
        *,
        if_match: int | None = None,
        nonce: str = "",
        note: WriteNote = EMPTY_NOTE,
        previous: PlatformObject | None = None,
        lease_s: float = 0.0,
    ) -> Result[Accepted, PlatformError]:
        """Write once without retries; see `put_verified` for the parameters."""
        document = {"nonce": nonce, "note": attrs.asdict(note), "body": body}
        document["history"] = _build_history(if_match, previous)
        document["epoch"] = self.epoch
        document["lease_s"] = lease_s
        return self._call(
            "put",
            "PUT",
            _build_object_path(key),
            Accepted,
            json=document,
            headers=_build_condition_headers(if_match),
        )

    def put_verified(
        self,
        key: str,
        body: str,
        *,
        if_match: int | None = None,
        nonce: str | None = None,
        note: WriteNote = EMPTY_NOTE,
        previous: PlatformObject | None = None,
        lease_s: float = 0.0,
    ) -> Result[Accepted, PlatformError]:
        """Write, and verify by a read whether a write without a response took effect.

        Parameters
        ----------
        key, body : str
            Key of the object and its new content.
        if_match : int or None
            Expected current version; 0 if the object must not exist, None for an
            unconditional write.
        nonce : str or None
            Unique identifier of this write; generated if None.
        note : WriteNote
            Author and time of the change, stored in the object.
        previous : PlatformObject or None
            Object of version `if_match`, whose history is continued.
        lease_s : float
            Time in seconds after which the platform deletes the object unless it is
            written again; 0 for no expiry.

        Returns
        -------
        Result of Accepted or PlatformError
            A refused write had no effect. With UNKNOWN_OUTCOME, the write may have
            taken effect or may still do so.

        Notes
        -----
        The object records the epoch that this client knows, so that replicas prefer it
        to what the platform has lost. If the response shows a later one, the object is
        written once more.
        """
        nonce = nonce or uuid.uuid4().hex
        epoch = self.epoch
        write = functools.partial(
            self.put_object, key, body, nonce=nonce, note=note, lease_s=lease_s
        )
        self._credit_retry_budget()
        is_uncertain = False
        for attempt in range(self._retry.attempts):
            result = write(if_match=if_match, previous=previous)
            if result.is_ok() and self.epoch != epoch:
                return _combine_results(
                    key, result, write(if_match=result.unwrap().version)
                )
            if result.is_ok():
                return result
            error = result.unwrap_err()
            if not error.is_refusal:
                is_uncertain = True
            elif not is_uncertain and error.kind is not ErrorKind.RATE_LIMITED:
                return result
            outcome = (
                self._resolve_uncertain_write(key, if_match, nonce, epoch)
                if is_uncertain
                else None
            )
            if outcome is not None:
                return outcome
            is_last = attempt + 1 == self._retry.attempts
            if is_last or not self._wait_for_retry(attempt, error):
                break
        return Err(_build_unknown_outcome_error(key, error)) if is_uncertain else result

    def delete_object(
        self, key: str, *, if_match: int | None = None
    ) -> Result[Accepted, PlatformError]:
        """Delete the object `key` and return the version of its tombstone."""
        headers = _build_condition_headers(if_match)
        return self._call(
            "delete", "DELETE", _build_object_path(key), Accepted, headers=headers
        )

    def _resolve_uncertain_write(
        self, key: str, if_match: int | None, nonce: str, epoch: int
    ) -> Result[Accepted, PlatformError] | None:
        """Return the outcome of an uncertain write, or None if it may be repeated.

        Parameters
        ----------
        epoch : int
            Epoch of the platform before the first attempt.
        """
        result = self.get_object(key)
        if result.is_err():
            return None
        if self.epoch != epoch:
            # The platform was restored meanwhile: the write may be lost, and the
            # condition of a delayed attempt may hold again.
            return Err(_build_unknown_outcome_error(key, None))
        present = result.unwrap()
        written = present.find_write(nonce)
        if written is not None:
            log.debug(
                "verified that the write of %s took effect as version %d",
                key,
                written.version,
            )
            return Ok(Accepted(written.version))
        if if_match is None or present.version == if_match:
            return None
        # The history has no gaps. If it reaches back to the expected version, it
        # contains all writes since then, and this one is not among them. The write
        # cannot take effect later either, because versions never decrease. Version 0 is
        # excluded, as it also stands for a deleted object, whose earlier writes the
        # history lacks.
        if if_match and any(past.version == if_match for past in present.history):
            return Err(_build_conflict_error(key, present))
        return Err(_build_unknown_outcome_error(key, None))

    def _call_with_retries(
        self,
        name: str,
        method: str,
        path: str,
        kind: type,
        params: dict[str, object] | None = None,
    ) -> Result:
        self._credit_retry_budget()
        result = self._call(name, method, path, kind, params=params)
        for attempt in range(self._retry.attempts - 1):
            if result.is_ok() or result.unwrap_err().kind not in RETRYABLE_KINDS:
                return result
            if not self._wait_for_retry(attempt, result.unwrap_err()):
                return result
            result = self._call(name, method, path, kind, params=params)
        return result

    def _credit_retry_budget(self) -> None:
        earned = self._retry_budget + self._retry.budget_ratio
        self._retry_budget = min(self._retry.budget_max, earned)

    def _wait_for_retry(self, attempt: int, error: PlatformError) -> bool:
        """Wait before a retry; return False if the retry budget is exhausted."""
        if self._retry_budget < 1.0:
            self.calls["retry", "budget_used"] += 1
            return False
        self._retry_budget -= 1.0
        self.calls["retry", str(error.kind)] += 1
        delay_s = self._retry.compute_delay(attempt, self._random)
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
            detail = f"no complete response: {type(error).__name__}"
            result = Err(
                PlatformError(step, self.base_url, detail, ErrorKind.UNREACHABLE)
            )
        else:
            self.epoch = max(self.epoch, _parse_number(response.headers, EPOCH_HEADER))
            result = self._parse_response(step, response, kind)
        outcome = "ok" if result.is_ok() else str(result.unwrap_err().kind)
        self.calls[name, outcome] += 1
        return result

    def _parse_response(
        self, step: str, response: requests.Response, kind: type
    ) -> Result:
        status = response.status_code
        if status >= 500:
            detail = f"the platform failed with status {status}"
            return Err(
                PlatformError(step, self.base_url, detail, ErrorKind.UNREACHABLE)
            )
        if status >= 400:
            return Err(self._parse_refusal(step, response))
        try:
            data = load_document(response.content, DOCUMENT_LEVELS).value
        except (ValueError, requests.RequestException):
            return Err(
                self._build_malformed_error(step, "response body is not valid JSON")
            )
        if status != 200:
            return Err(self._build_malformed_error(step, f"unexpected status {status}"))
        result = parse_response(data, kind)
        if kind in (Listing, Changes):
            result = result.map(lambda value: attrs.evolve(value, epoch=self.epoch))
            self._record_errors(step, result)
        return result.map_err(lambda detail: self._build_malformed_error(step, detail))

    def _record_errors(self, step: str, result: Result) -> None:
        """Count and log the objects of a response that cannot be read."""
        for detail in result.unwrap().errors if result.is_ok() else ():
            self.calls["object", "unreadable"] += 1
            log.warning("%s: object ignored: %s", step, detail)

    def _parse_refusal(self, step: str, response: requests.Response) -> PlatformError:
        kind = ERROR_KINDS_BY_STATUS.get(response.status_code, ErrorKind.REFUSED)
        detail = f"refused with status {response.status_code}"
        retry_after_s = float(_parse_number(response.headers, "Retry-After"))
        return PlatformError(step, self.base_url, detail, kind, retry_after_s)

    def _build_malformed_error(self, step: str, detail: str) -> PlatformError:
        return PlatformError(step, self.base_url, detail, ErrorKind.MALFORMED)


def _create_session() -> requests.Session:
    session = requests.Session()
    # Proxy settings and credentials from the environment do not apply to the platform.
    session.trust_env = False
    return session


def _build_object_path(key: str) -> str:
    return "/objects/" + quote(key)


def _build_condition_headers(if_match: int | None) -> dict[str, str]:
    return {} if if_match is None else {"If-Match": str(if_match)}


def _build_history(
    if_match: int | None, previous: PlatformObject | None
) -> list[dict[str, object]]:
    # Other writes may precede an unconditional write, so its history could have a gap.
    if previous is None or if_match != previous.version:
        return []
    records = (previous.record, *previous.history)[:HISTORY_LENGTH]
    return [attrs.asdict(record) for record in records]


def _build_conflict_error(key: str, present: PlatformObject) -> PlatformError:
    detail = (
        f"version {present.version} was written by"
        f" {present.note.editor or 'another writer'}"
    )
    return PlatformError("put " + key, "platform", detail, ErrorKind.CONFLICT)


def _build_unknown_outcome_error(
    key: str, error: PlatformError | None
) -> PlatformError:
    detail = "unknown whether the write took effect"
    if error is not None:
        detail += f" ({error.detail})"
    return PlatformError("put " + key, "platform", detail, ErrorKind.UNKNOWN_OUTCOME)


def _combine_results(
    key: str, first: Result[Accepted, PlatformError], second: Result
) -> Result[Accepted, PlatformError]:
    """Return the result of an accepted write that was repeated in a later epoch."""
    if second.is_ok():
        return second
    if second.unwrap_err().kind is ErrorKind.CONFLICT:
        # Another writer has read and replaced the object since.
        return first
    return Err(_build_unknown_outcome_error(key, second.unwrap_err()))


def _parse_number(headers: Mapping[str, str], name: str) -> int:
    """Return the number in a header; 0 if it is missing or malformed."""
    text = headers.get(name, "")
    return int(text) if text.isascii() and text.isdigit() else 0
