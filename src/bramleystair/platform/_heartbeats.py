"""Parser of the heartbeats of backend servers."""

import json
from typing import Any

from result import Err, Ok, Result

from bramleystair.documents import DECODE_ERRORS, read_float, read_int, read_text
from bramleystair.errors import StepError
from bramleystair.http import HttpRequest
from bramleystair.steering._types import (
    MAX_SLOTS,
    ServerReport,
    ServerShutdown,
    ServerState,
)

HEARTBEAT_PATH = "/bramleystair/Instances.Heartbeat/"
DEREGISTER_PATH = "/bramleystair/Instances.Deregister/"


def parse_report(
    request: HttpRequest,
) -> Result[ServerReport | ServerShutdown, StepError]:
    """Parse a heartbeat or a shutdown report of a server."""
    path = request.target.partition("?")[0]
    if request.method != "POST":
        return _reject(f"method {request.method}")
    if path.startswith(DEREGISTER_PATH):
        return Ok(ServerShutdown(path[len(DEREGISTER_PATH) :]))
    if not path.startswith(HEARTBEAT_PATH):
        return _reject("unknown path")
    try:
        body = json.loads(request.body)
        return Ok(_parse_heartbeat(path[len(HEARTBEAT_PATH) :], body))
    except DECODE_ERRORS as error:
        return _reject(repr(error))


def _parse_heartbeat(server: str, body: dict[str, Any]) -> ServerReport:
    return ServerReport(
        read_text(server, "the server's identifier"),
        read_text(body["Service"], "Service"),
        read_text(body["Zone"], "Zone"),
        ServerState(body["State"]),
        read_int(body["Slots"], "Slots", highest=MAX_SLOTS),
        read_float(body.get("ColdLeftMs", 0), "ColdLeftMs") / 1000,
        read_int(body["Seq"], "Seq"),
        read_int(body.get("born", 0), "born"),
    )


def _reject(detail: str) -> Err[StepError]:
    return Err(StepError("read report", "server", detail))
