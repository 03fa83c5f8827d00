"""Entry point of the platform's programs."""

import functools
import os
import random
import sys

from bramleystair.loop import EventLoop
from bramleystair.nodes import Node, NodeSettings, run_node
from bramleystair.platform._packets import Codec
from bramleystair.platform._settings import read_settings
from bramleystair.platform._store import PlatformStore
from bramleystair.timers import MonotonicClock

SETTINGS_PATH_VARIABLE = "BRAMLEYSTAIR_CONFIG"
METRICS_PORT_VARIABLE = "METRICS_PORT"


def main(arguments: list[str], started_s: float) -> int:
    """Run the node of the role named by the first argument.

    Parameters
    ----------
    arguments : list of str
        Command line without the program's name.
    started_s : float
        Time of day at which the process started.
    """
    if len(arguments) != 1 or arguments[0] not in ("balancer", "agent"):
        print("usage: node.py balancer|agent", file=sys.stderr)
        return 2
    metrics_port = int(os.environ.get(METRICS_PORT_VARIABLE, "0"))
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    result = read_settings(path, metrics_port)
    if result.is_err():
        print(result.unwrap_err(), file=sys.stderr)
        return 1
    settings = result.unwrap()
    loop = EventLoop(MonotonicClock())
    if arguments[0] == "balancer":
        build = _build_balancer
    else:
        build = functools.partial(_build_agent, started_s=started_s)
    return run_node(
        settings.name,
        loop,
        lambda: build(loop, settings),
        lambda: read_settings(path, metrics_port),
    )


# Each role loads only what it uses: after a power loss, callers wait for the start.


def _build_balancer(loop: EventLoop, settings: NodeSettings) -> Node:
    from bramleystair.nodes._balancer import BalancerNode
    from bramleystair.platform._configuration import (
        CONFIG_KIND,
        EVACUATION_KIND,
        read_rules,
    )

    return BalancerNode(
        loop,
        settings,
        Codec(),
        PlatformStore(loop, settings.store_address),
        CONFIG_KIND,
        EVACUATION_KIND,
        read_rules,
        random.Random(),
    )


def _build_agent(loop: EventLoop, settings: NodeSettings, started_s: float) -> Node:
    from bramleystair.nodes._agent import AgentNode
    from bramleystair.platform._heartbeats import read_report

    return AgentNode(
        loop,
        settings,
        Codec(),
        PlatformStore(loop, settings.store_address),
        read_report,
        random.Random(),
        started_s,
    )
