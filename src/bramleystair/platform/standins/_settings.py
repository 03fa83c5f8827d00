"""Builds settings files and configurations in the platform's format."""

from typing import Any

PACKET_PORT, OUTBOUND_PORT, READY_PORT, CONTROL_PORT = 8172, 8162, 8167, 8166
APP_PORT, INNER_PORT, STORE_PORT = 8165, 7720, 8169
SERVICE_NAME = "feed"
SERVICE_HOST, SERVICE_PORT = "198.18.0.1", 443
HEARTBEAT_MS = 500


def build_settings(
    name: str,
    ip: str,
    zone: str,
    store: tuple[str, int],
    seeds: tuple[str, ...],
    is_agent: bool,
) -> dict[str, Any]:
    """Return the content of a node's settings file."""
    listen = {
        "DatagramAddr": f"{ip}:{PACKET_PORT}",
        "Ready": f"{ip}:{READY_PORT}",
        "Control": f"{ip}:{CONTROL_PORT}",
    }
    document: dict[str, Any] = {
        "Node": name,
        "Ip": ip,
        "Zone": zone,
        "Listen": listen,
        "InternalPortRange": [INNER_PORT, INNER_PORT + 15],
        "Seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "HeartbeatMs": HEARTBEAT_MS,
        "Bounds": {"GraceS": 6, "FlowTtlS": 60},
        "platform": {"Address": "{}:{}".format(*store)},
    }
    if is_agent:
        listen["outbound"] = f"{ip}:{OUTBOUND_PORT}"
        document["app"] = f"{ip}:{APP_PORT}"
        document["Service"] = SERVICE_NAME
    return document


def build_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one route and one service."""
    route = {
        "Name": "r",
        "Host": SERVICE_HOST,
        "PathPrefix": f"/{SERVICE_PORT}/",
        "Service": SERVICE_NAME,
        "GoalMs": 250,
    }
    return {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": SERVICE_NAME, "ColdPerS": 0}],
        "Limits": {"IdleTimeoutMs": 15_000},
    }


def build_server_options(name: str, ip: str, zone: str) -> dict[str, Any]:
    """Return the options of the stand-in for a backend server."""
    return {
        "name": name,
        "service": SERVICE_NAME,
        "zone": zone,
        "app": [ip, APP_PORT],
        "outbound": [ip, OUTBOUND_PORT],
        "control": [ip, CONTROL_PORT],
        "heartbeat_s": HEARTBEAT_MS / 1000,
    }


def build_caller_options(
    host: str,
    balancers: list[str],
    users: int,
    seed: int,
    response_timeout_s: float,
    reuse_share: float,
) -> dict[str, Any]:
    """Return the options of the stand-in for callers."""
    return {
        "host": host,
        "port": PACKET_PORT,
        "service": [SERVICE_HOST, SERVICE_PORT],
        "balancers": [
            {
                "name": f"balancer-{number}",
                "packets": [ip, PACKET_PORT],
                "ready": [ip, READY_PORT],
            }
            for number, ip in enumerate(balancers)
        ],
        "users": users,
        "seed": seed,
        "response_timeout_s": response_timeout_s,
        "reuse_share": reuse_share,
    }
