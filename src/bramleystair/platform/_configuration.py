"""Parser of the operator's configuration."""

import math
import socket
from typing import Any

from result import Err, Ok, Result

from bramleystair.documents import DECODE_ERRORS, read_float, read_int, read_text
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
# Name of the configuration; other objects of the kind are not the operator's.
CONFIG_NAME = "main"


def parse_rules(spec: Any) -> Result[RoutingRules, StepError]:
    """Parse a configuration into routing rules."""
    try:
        routes = [_parse_route(item) for item in spec["Routes"]]
        services = [
            ServiceLimits(
                read_text(item["Name"], "Name"),
                read_float(item.get("ColdPerS", 0), "ColdPerS"),
            )
            for item in spec["Services"]
        ]
        return Ok(
            RoutingRules(
                read_int(spec["Version"], "Version"),
                {route.endpoint: route for route in routes},
                {service.name: service for service in services},
            )
        )
    except DECODE_ERRORS as error:
        return Err(StepError("read configuration", "store", repr(error)))


def _parse_route(item: dict[str, Any]) -> Route:
    # `Host` is an IPv4 address, and `PathPrefix` a port between slashes.
    port = int(item["PathPrefix"].strip("/"))
    endpoint = socket.inet_aton(item["Host"]) + port.to_bytes(2, "big")
    weighted_services = item.get("TrafficSplit") or [
        {"Service": item["Service"], "Weight": 1}
    ]
    targets = tuple(
        Target(
            read_text(part["Service"], "Service"), read_float(part["Weight"], "Weight")
        )
        for part in weighted_services
        if part["Weight"] > 0
    )
    if not targets:
        raise ValueError(f"route {item['Name']} has no service with a weight above 0")
    name = read_text(item["Name"], "Name")
    return Route(name, endpoint, targets, _parse_service_level(item))


def _parse_service_level(item: dict[str, Any]) -> ServiceLevel:
    default = ServiceLevel()
    level = ServiceLevel(
        int(item.get("Priority", default.priority)),
        float(item.get("GoalMs", default.objective_s * 1000)) / 1000,
        float(item.get("TimeoutMs", default.deadline_s * 1000)) / 1000,
    )
    times_s = (level.objective_s, level.deadline_s)
    if level.priority < 0 or not all(0 <= time_s < math.inf for time_s in times_s):
        raise ValueError(f"route {item['Name']} has an invalid service level: {level}")
    return level
