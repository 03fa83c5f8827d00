"""The operator's configuration and the servers' heartbeats."""

import json
import socket
from typing import Any

from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.http import HttpRequest
from bramleystair.steering import (
    Route,
    RoutingRules,
    ServerReport,
    ServerState,
    ServiceRules,
    Target,
)

CONFIG_KIND = "config"
EVACUATION_KIND = "evacuations"
HEARTBEAT_PATH = "/bramleystair/Instances.Heartbeat/"
DEREGISTER_PATH = "/bramleystair/Instances.Deregister/"


def read_rules(spec: Any) -> Result[RoutingRules, StepError]:
    """Return the routing rules of a configuration."""
    try:
        routes = [_read_route(item) for item in spec["Routes"]]
        services = [
            ServiceRules(
                item["Name"],
                float(item.get("ColdPerS", 0)),
                item.get("HealthPath", "/health"),
            )
            for item in spec["Services"]
        ]
        return Ok(
            RoutingRules(
                int(spec["Version"]),
                {route.endpoint: route for route in routes},
                {service.name: service for service in services},
                spec.get("Limits", {}).get("IdleTimeoutMs", 15_000) / 1000,
            )
        )
    except (KeyError, TypeError, ValueError, OSError, AttributeError) as error:
        return Err(StepError("read configuration", "store", repr(error)))


def _read_route(item: dict[str, Any]) -> Route:
    # The host is an address and the path prefix a port between slashes.
    port = int(item["PathPrefix"].strip("/"))
    endpoint = socket.inet_aton(item["Host"]) + port.to_bytes(2, "big")
    if item.get("TrafficSplit"):
        targets = tuple(
            Target(part["Service"], float(part["Weight"]))
            for part in item["TrafficSplit"]
            if part["Weight"] > 0
        )
    else:
        targets = (Target(item["Service"], 1.0),)
    return Route(item["Name"], endpoint, targets, item.get("GoalMs", 0) / 1000)


def read_report(request: HttpRequest) -> Result[ServerReport | str, StepError]:
    """Return a server's report, or its identity when it deregisters."""
    path = request.target.partition("?")[0]
    if request.method != "POST":
        return _refuse(f"method {request.method}")
    if path.startswith(DEREGISTER_PATH):
        return Ok(path[len(DEREGISTER_PATH) :])
    if not path.startswith(HEARTBEAT_PATH):
        return _refuse("unknown path")
    try:
        body = json.loads(request.body)
        return Ok(_read_heartbeat(path[len(HEARTBEAT_PATH) :], body))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return _refuse(repr(error))


def _read_heartbeat(server: str, body: dict[str, Any]) -> ServerReport:
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


def _refuse(detail: str) -> Err[StepError]:
    return Err(StepError("read report", "server", detail))
