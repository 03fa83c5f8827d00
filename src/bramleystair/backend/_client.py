"""HTTP client of the backend server."""

import json

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from bramleystair.errors import StepError
from bramleystair.wire import MAX_BODY_BYTES

STATUS_OK = 200
STATUS_SHED = 503
STATUS_TIMED_OUT = 504
CONNECT_TIMEOUT_S = 1.0
# The backend server enforces the deadline itself; this leaves it time to report that a
# deadline was missed.
DEADLINE_GRACE_S = 0.5
QUERY_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 65_536
MAX_CONNECTIONS = 256


@attrs.frozen
class Responded:
    """The backend server ran the request and responded."""

    status: int
    body: bytes
    content_type: str


@attrs.frozen
class Shed:
    """The backend server did not run the request and will not run it later."""

    reason: str
    retry_after_s: float = 0.0


@attrs.frozen
class Failed:
    """The outcome is unknown: the backend server may have run the request."""

    reason: str


RunOutcome = Responded | Shed | Failed


@attrs.frozen
class BackendLoad:
    """Load reported by the backend server."""

    running: int
    queued: int
    slots: int


class BackendClient:
    """Client that runs requests at one backend server.

    Parameters
    ----------
    host, port : str, int
        Address of the backend server.
    max_body_bytes : int
        Maximum length of an accepted response body.
    """

    def __init__(self, host: str, port: int, max_body_bytes: int = 8 * 2**20) -> None:
        self.peer = f"{host}:{port}"
        # A longer body would exceed the maximum frame length towards the balancer.
        self._max_body_bytes = min(max_body_bytes, MAX_BODY_BYTES)
        # No retries: a request that is sent again could run twice.
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=MAX_CONNECTIONS, retries=False
        )

    def run(
        self,
        service: str,
        request_name: str,
        body: bytes,
        content_type: str,
        deadline_s: float,
    ) -> RunOutcome:
        """Run a request and return its outcome."""
        headers = {
            "Request-Id": request_name,
            "Deadline-Ms": str(max(1, int(deadline_s * 1000))),
            "Content-Type": content_type or "application/octet-stream",
        }
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=deadline_s + DEADLINE_GRACE_S
        )
        try:
            response = self._pool.request(
                "POST",
                f"/run/{service}",
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError):
            return Shed("backend_unreachable")
        except ReadTimeoutError:
            return Failed("deadline")
        except HTTPError:
            return Failed("backend_connection_lost")
        return self._read_outcome(response)

    def cancel(self, request_name: str) -> Result[bool, StepError]:
        """Cancel a request; return whether the backend server knew it."""
        step = "cancel request"
        return self._query(step, "DELETE", f"/run/{request_name}").map(
            lambda response: response.status == STATUS_OK
        )

    def check_health(self) -> Result[bool, StepError]:
        """Return whether the backend server reports that it is healthy."""
        return self._query("check health", "GET", "/health").map(
            lambda response: response.status == STATUS_OK
        )

    def read_load(self) -> Result[BackendLoad, StepError]:
        """Return the load that the backend server reports."""
        return self._query("read load", "GET", "/load").and_then(self._parse_load)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _read_outcome(self, response: urllib3.BaseHTTPResponse) -> RunOutcome:
        try:
            body = response.read(self._max_body_bytes + 1)
        except HTTPError:
            response.close()
            return Failed("backend_connection_lost")
        if len(body) > self._max_body_bytes:
            response.close()
            return Failed("response_too_large")
        response.release_conn()
        if response.status == STATUS_SHED and response.headers.get("Shed") == "1":
            return Shed("shed", _parse_seconds(response.headers.get("Retry-After")))
        if response.status == STATUS_TIMED_OUT:
            return Failed("deadline")
        content_type = response.headers.get("Content-Type", "")
        return Responded(response.status, body, content_type)

    def _query(
        self, step: str, method: str, path: str
    ) -> Result[urllib3.BaseHTTPResponse, StepError]:
        try:
            return Ok(self._pool.request(method, path, timeout=QUERY_TIMEOUT_S))
        except HTTPError as error:
            return Err(StepError(step, self.peer, str(error)))

    def _parse_load(
        self, response: urllib3.BaseHTTPResponse
    ) -> Result[BackendLoad, StepError]:
        try:
            content = json.loads(response.data[:MAX_REPORT_BYTES])
            load = BackendLoad(
                int(content["running"]), int(content["queued"]), int(content["slots"])
            )
        except (ValueError, KeyError, TypeError) as error:
            return Err(StepError("read load", self.peer, f"malformed: {error!r}"))
        return Ok(load)


def _parse_seconds(text: str | None) -> float:
    return float(text) if text and text.isdecimal() else 0.0
