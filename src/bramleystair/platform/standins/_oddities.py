"""Entries and reports as another writer sends them."""

import json
import random as random_module
from typing import Any

# Depth of nested arrays that nodes do not read.
LEVELS = 300
OTHER_VALUES = ([], True, -1, 1.5, "", "x", None)
ENTRY_ODDITIES = (
    "state 1",
    "missing field",
    "other type",
    "without slots",
    "number as zone",
    "null",
    "nested",
    "no fields",
    "sound",
)
# Reports under the identifier of the server that also its own ones may resemble.
OWN_REPORT_ODDITIES = (
    "state 1",
    "missing field",
    "other type",
    "unknown service",
    "unreadable",
)
REPORT_ODDITIES = (
    *OWN_REPORT_ODDITIES,
    "other server, without start",
    "other server, earlier start",
    "other server, other address",
)
DEREGISTRATION_ODDITIES = ("other server", "without start", "earlier start")
OTHER_SERVER = "i-other"
REQUIRED_FIELDS = ("Service", "State", "Slots", "Seq", "born")
STEP_MS = 5000


def build_odd_entry(oddity: str, entry: Any, random: random_module.Random) -> Any:
    """Return the entry of an agent as another writer changes it."""
    fields = dict(entry) if isinstance(entry, dict) else {}
    name = random.choice(sorted(fields) or ["state"])
    match oddity:
        case "state 1":
            return {"state": 1}
        case "missing field":
            fields.pop(name, None)
            return fields
        case "other type":
            return fields | {name: random.choice(OTHER_VALUES)}
        case "without slots":
            fields.pop("slots", None)
            return fields
        case "number as zone":
            return fields | {"zone": 7}
        case "null":
            return None
        case "nested":
            return fields | {name: build_nested()}
        case "no fields":
            return {}
        case "sound":
            others = {
                "port": random.randint(1024, 65_535),
                "service": "other",
                "state": "draining",
                "zone": "zone-other",
                "slots": random.randint(1, 50),
            }
            names = random.sample(sorted(others), random.randint(1, len(others)))
            return fields | {name: others[name] for name in names}
        case _:
            raise ValueError(f"unknown oddity {oddity}")


def build_odd_report(
    oddity: str, server: str, body: dict[str, Any], random: random_module.Random
) -> tuple[str, bytes]:
    """Return identifier and body of a report that names no server to use.

    Parameters
    ----------
    server, body
        Identifier and report of the sound server.
    """
    name = random.choice(REQUIRED_FIELDS)
    match oddity:
        case "state 1":
            body = body | {"State": 1}
        case "missing field":
            body = {field: value for field, value in body.items() if field != name}
        case "other type":
            body = body | {name: random.choice(OTHER_VALUES)}
        case "unknown service":
            body = body | {"Service": "other"}
        case "unreadable":
            return server, b'{"Service": "\xff\xfe'
        case "other server, without start":
            body = {field: value for field, value in body.items() if field != "born"}
            server = OTHER_SERVER
        case "other server, earlier start":
            body = body | {"born": body["born"] - STEP_MS}
            server = OTHER_SERVER
        case "other server, other address":
            body = body | {"born": body["born"] + STEP_MS, "Address": "127.0.0.9:9"}
            server = OTHER_SERVER
        case _:
            raise ValueError(f"unknown oddity {oddity}")
    return server, json.dumps(body).encode()


def build_odd_deregistration(
    oddity: str, server: str, started_ms: int
) -> tuple[str, bytes]:
    """Return identifier and body of a deregistration that removes no server."""
    match oddity:
        case "other server":
            return OTHER_SERVER, json.dumps({"born": started_ms}).encode()
        case "without start":
            return server, b"{}"
        case "earlier start":
            return server, json.dumps({"born": started_ms - STEP_MS}).encode()
        case _:
            raise ValueError(f"unknown oddity {oddity}")


def build_nested() -> list:
    """Return arrays that are nested deeper than nodes read."""
    value: list = []
    for _ in range(LEVELS):
        value = [value]
    return value
