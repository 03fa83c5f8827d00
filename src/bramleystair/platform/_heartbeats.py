"""Parser of the heartbeats of backend servers."""

import json
from typing import Any

from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.http import HttpRequest
from bramleystair.steering._types import ServerReport, ServerState

HEARTBEAT_PATH = "/bramleystair/Instances.Heartbeat/"
DEREGISTER_PATH = "/bramleystair/Instances.Deregister/"


def parse_report(request: HttpRequest) -> Result[ServerReport | str, StepError]:
    """Parse a call of a server into its report, or its identifier if it deregisters."""
    path = request.target.partition("?")[0]
    if request.method != "POST":
        return _reject(f"method {request.method}")
    if path.startswith(DEREGISTER_PATH):
        return Ok(path[len(DEREGISTER_PATH) :])
    if not path.startswith(HEARTBEAT_PATH):
        return _reject("unknown path")
    try:
        body = json.loads(request.body)
        return Ok(_parse_heartbeat(path[len(HEARTBEAT_PATH) :], body))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return _reject(repr(error))


def _parse_heartbeat(server: str, body: dict[str, Any]) -> ServerReport:
    for name, kind in (("Service", str), ("Zone", str), ("Slots", int), ("Seq", int)):
        if type(body[name]) is not kind:
            raise TypeError(f"{name} is not of type {kind.__name__}")
    return ServerReport(
        server,
        body["Service"],
        body["Zone"],
        ServerState(body["State"]),
        body["Slots"],
        float(body.get("ColdLeftMs", 0)) / 1000,
        body["Seq"],
        int(body.get("born", 0)),
    )


def _reject(detail: str) -> Err[StepError]:
    return Err(StepError("read report", "server", detail))
