"""The operator's configuration."""

import math
import socket
from typing import Any

from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.steering._types import (
    Route,
    RoutingRules,
    ServiceLevel,
    ServiceLimits,
    Target,
)

CONFIG_KIND = "config"
EVACUATION_KIND = "evacuations"
# What a document of another shape raises while it is read.
_UNREADABLE = (
    KeyError,
    TypeError,
    ValueError,
    OSError,
    OverflowError,
    AttributeError,
)


def read_rules(spec: Any) -> Result[RoutingRules, StepError]:
    """Return the routing rules of a configuration."""
    try:
        routes = [_read_route(item) for item in spec["Routes"]]
        services = [
            ServiceLimits(item["Name"], float(item.get("ColdPerS", 0)))
            for item in spec["Services"]
        ]
        return Ok(
            RoutingRules(
                int(spec["Version"]),
                {route.endpoint: route for route in routes},
                {service.name: service for service in services},
            )
        )
    except _UNREADABLE as error:
        return Err(StepError("read configuration", "store", repr(error)))


def _read_route(item: dict[str, Any]) -> Route:
    # The host is an address and the path prefix a port between slashes.
    port = int(item["PathPrefix"].strip("/"))
    endpoint = socket.inet_aton(item["Host"]) + port.to_bytes(2, "big")
    split = item.get("TrafficSplit") or [{"Service": item["Service"], "Weight": 1}]
    targets = tuple(
        Target(_read_text(part["Service"]), float(part["Weight"]))
        for part in split
        if part["Weight"] > 0
    )
    if not targets:
        raise ValueError(f"route {item['Name']} has no service")
    name = _read_text(item["Name"])
    return Route(name, endpoint, targets, _read_level(item))


def _read_level(item: dict[str, Any]) -> ServiceLevel:
    default = ServiceLevel()
    level = ServiceLevel(
        int(item.get("Priority", default.priority)),
        float(item.get("GoalMs", default.objective_s * 1000)) / 1000,
        float(item.get("TimeoutMs", default.deadline_s * 1000)) / 1000,
    )
    times_s = (level.objective_s, level.deadline_s)
    if level.priority < 0 or not all(0 <= time_s < math.inf for time_s in times_s):
        raise ValueError(f"route {item['Name']} has a service level of {level}")
    return level


def _read_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value
