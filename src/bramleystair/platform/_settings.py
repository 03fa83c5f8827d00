"""Parser of the platform's settings file."""

import json
from typing import Any

from result import Err, Ok, Result

from bramleystair.documents import DECODE_ERRORS, read_float, read_int
from bramleystair.errors import StepError
from bramleystair.nodes import NodeSettings

BYTES_PER_MBIT = 125_000
BYTES_PER_MB = 1_000_000
# Used if the file has no value; most links of the deployments have a higher capacity.
DEFAULT_LINK_MBPS = 100
# Memory that the design permits for each node.
DEFAULT_MEMORY_MB = 256
DEFAULT_OBJECT_BYTES = 1_048_576


def read_settings(path: str, metrics_port: int) -> Result[NodeSettings, StepError]:
    """Read the settings of a node; an error names what is missing or wrong."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
        return Ok(_parse_document(document, metrics_port))
    except OSError as error:
        return Err(StepError("read settings", path, error.strerror or "unreadable"))
    except KeyError as error:
        return Err(StepError("read settings", path, f"{error} is missing"))
    except DECODE_ERRORS as error:
        return Err(StepError("read settings", path, str(error)))


def _parse_document(document: dict[str, Any], metrics_port: int) -> NodeSettings:
    listen = document["Listen"]
    bounds = document.get("Bounds", {})
    limits = document.get("Limits", {})
    ip = document["Ip"]
    first_port, _ = document["InternalPortRange"]
    # Seeds are control addresses, of which only the host is used: the message port is
    # the same on all machines.
    hosts = [parse_address(seed)[0] for seed in document.get("Seeds", ())]
    return NodeSettings(
        name=document["Node"],
        zone=document["Zone"],
        packet_address=parse_address(listen["DatagramAddr"]),
        message_address=(ip, first_port),
        ready_address=parse_address(listen["Ready"]),
        peers=tuple((host, first_port) for host in hosts if host != ip),
        store_address=parse_address(document["platform"]["Address"]),
        metrics_address=(ip, metrics_port) if metrics_port else None,
        report_address=_parse_optional_address(listen.get("Control")),
        server_address=_parse_optional_address(document.get("app")),
        outbound_address=_parse_optional_address(listen.get("outbound")),
        service=document.get("Service", ""),
        heartbeat_s=read_float(document.get("HeartbeatMs", 1000), "HeartbeatMs") / 1000,
        grace_s=read_float(bounds.get("GraceS", 6), "GraceS"),
        link_bytes_per_s=BYTES_PER_MBIT
        * read_float(limits.get("LinkMbps", DEFAULT_LINK_MBPS), "LinkMbps"),
        flow_lifetime_s=read_float(bounds.get("FlowTtlS", 60), "FlowTtlS"),
        memory_bytes=int(
            BYTES_PER_MB
            * read_float(limits.get("MemoryMb") or DEFAULT_MEMORY_MB, "MemoryMb")
        ),
        max_object_bytes=read_int(
            document["platform"].get("ValueBytes", DEFAULT_OBJECT_BYTES),
            "ValueBytes",
            1,
        ),
        zones=tuple(document.get("Zones", ())),
    )


def parse_address(text: str) -> tuple[str, int]:
    """Split an address such as ``10.1.0.10:8172`` into host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _parse_optional_address(text: str | None) -> tuple[str, int] | None:
    return None if not text else parse_address(text)
