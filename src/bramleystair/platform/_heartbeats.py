"""Parser of the heartbeats and shutdown reports of backend servers."""

import json
from typing import Any

from result import Err, Ok, Result

from bramleystair.documents import DECODE_ERRORS, read_float, read_int, read_text
from bramleystair.http import HttpRequest
from bramleystair.nodes._reports import ReportError
from bramleystair.platform._settings import parse_address
from bramleystair.steering._types import (
    MAX_SLOTS,
    ServerReport,
    ServerShutdown,
    ServerState,
)

HEARTBEAT_PATH = "/bramleystair/Instances.Heartbeat/"
DEREGISTER_PATH = "/bramleystair/Instances.Deregister/"
# Fields of a heartbeat; a server sends all of them.
_FIELDS = (
    "Service",
    "Address",
    "Zone",
    "Version",
    "Slots",
    "State",
    "ColdLeftMs",
    "Seq",
    "born",
)
MAX_ID_LENGTH = 200


def parse_report(
    request: HttpRequest,
) -> Result[ServerReport | ServerShutdown, ReportError]:
    """Parse a heartbeat or a shutdown report of a server."""
    path = request.target.partition("?")[0]
    if path.startswith(HEARTBEAT_PATH):
        parse, server = _parse_heartbeat, path[len(HEARTBEAT_PATH) :]
    elif path.startswith(DEREGISTER_PATH):
        parse, server = _parse_shutdown, path[len(DEREGISTER_PATH) :]
    else:
        return _reject("unknown path", "unknown_path")
    if request.method != "POST":
        return _reject(f"method {request.method}", "unknown_path")
    if not _is_identifier(server):
        return _reject("invalid identifier in the path", "invalid_id")
    try:
        return parse(server, request.body)
    except DECODE_ERRORS as error:
        return _reject(repr(error), "malformed")


def _parse_heartbeat(server: str, data: bytes) -> Result[ServerReport, ReportError]:
    body = _load_object(data)
    missing = [name for name in _FIELDS if name not in body]
    if missing:
        reason = "no_start" if missing == ["born"] else "incomplete"
        return _reject("without " + ", ".join(missing), reason)
    if body["State"] not in list(ServerState):
        return _reject(f"State {body['State']!r:.50}", "unknown_state")
    read_text(body["Version"], "Version")
    report = ServerReport(
        server,
        _read_name(body["Service"], "Service"),
        _read_name(body["Zone"], "Zone"),
        ServerState(body["State"]),
        read_int(body["Slots"], "Slots", 1, MAX_SLOTS),
        read_float(body["ColdLeftMs"], "ColdLeftMs") / 1000,
        read_int(body["Seq"], "Seq"),
        read_int(body["born"], "born", 1),
        parse_address(read_text(body["Address"], "Address")),
    )
    return Ok(report)


def _parse_shutdown(server: str, data: bytes) -> Result[ServerShutdown, ReportError]:
    """Parse a shutdown report, whose body may be empty."""
    born = _load_object(data).get("born") if data else None
    return Ok(ServerShutdown(server, None if born is None else read_int(born, "born")))


def _load_object(data: bytes) -> dict[str, Any]:
    body = json.loads(data)
    if not isinstance(body, dict):
        raise TypeError("the body is not an object")
    return body


def _read_name(value: Any, name: str) -> str:
    if not read_text(value, name):
        raise ValueError(f"{name} is empty")
    return value


def _is_identifier(text: str) -> bool:
    is_short = 0 < len(text) <= MAX_ID_LENGTH
    return is_short and text.isprintable() and not set(text) & set(" /")


def _reject(detail: str, reason: str) -> Err[ReportError]:
    return Err(ReportError("read report", "server", detail, reason))
