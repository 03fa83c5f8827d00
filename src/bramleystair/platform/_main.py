"""Entry point of the programs that run on the platform."""

import os
import random
import sys

import attrs
from result import Ok, Result

from bramleystair.errors import StepError
from bramleystair.loop import EventLoop
from bramleystair.nodes import Node, NodeSettings, run_node
from bramleystair.platform._packets import Codec
from bramleystair.platform._settings import read_settings
from bramleystair.platform._store import PlatformStore
from bramleystair.steering import read_options
from bramleystair.timers import MonotonicClock

SETTINGS_PATH_VARIABLE = "BRAMLEYSTAIR_CONFIG"
METRICS_PORT_VARIABLE = "METRICS_PORT"
# Path of the options of the steering parts; without it, all parts are off.
OPTIONS_PATH_VARIABLE = "STEERING_OPTIONS"


def main(arguments: list[str]) -> int:
    """Run the node of the role named by the first argument.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments without the name of the program.
    """
    if len(arguments) != 1 or arguments[0] not in ("balancer", "agent"):
        print("usage: node.py balancer|agent", file=sys.stderr)
        return 2
    metrics_port = int(os.environ.get(METRICS_PORT_VARIABLE, "0"))
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    options_path = os.environ.get(OPTIONS_PATH_VARIABLE, "")

    def read_all() -> Result[NodeSettings, StepError]:
        return read_settings(path, metrics_port).and_then(
            lambda settings: _add_options(settings, options_path)
        )

    result = read_all()
    if result.is_err():
        print(result.unwrap_err(), file=sys.stderr)
        return 1
    settings = result.unwrap()
    loop = EventLoop(MonotonicClock())
    build = _build_balancer if arguments[0] == "balancer" else _build_agent
    return run_node(
        settings.name,
        loop,
        lambda: build(loop, settings),
        read_all,
    )


def _add_options(settings: NodeSettings, path: str) -> Result[NodeSettings, StepError]:
    """Add the options of the steering parts, if a file of them is named."""
    if not path:
        return Ok(settings)
    return read_options(path).map(
        lambda options: attrs.evolve(settings, options=options)
    )


# Each role imports only the modules that it uses: after a power loss, callers wait for
# the start of the nodes.


def _build_balancer(loop: EventLoop, settings: NodeSettings) -> Node:
    from bramleystair.nodes._balancer import BalancerNode
    from bramleystair.nodes._object_classes import build_balancer_classes
    from bramleystair.platform._configuration import (
        CONFIG_KIND,
        CONFIG_NAME,
        EVACUATION_KIND,
        parse_rules,
    )

    classes = build_balancer_classes(
        settings, CONFIG_KIND, CONFIG_NAME, EVACUATION_KIND
    )
    return BalancerNode(
        loop,
        settings,
        Codec(),
        PlatformStore(loop, settings.store_address, classes),
        CONFIG_KIND,
        CONFIG_NAME,
        EVACUATION_KIND,
        parse_rules,
        random.Random(),
    )


def _build_agent(loop: EventLoop, settings: NodeSettings) -> Node:
    from bramleystair.nodes._agent import AgentNode
    from bramleystair.nodes._object_classes import build_agent_classes
    from bramleystair.platform._heartbeats import parse_report

    return AgentNode(
        loop,
        settings,
        Codec(),
        PlatformStore(loop, settings.store_address, build_agent_classes(settings)),
        parse_report,
        random.Random(),
    )
