"""Stand-in for callers: datagram flows through the fabric, and HTTP requests."""

import random
from collections.abc import Sequence

from bramleystair.fabric import parse_endpoint
from bramleystair.standins._caller_flows import CallerFlows, FlowOrder
from bramleystair.standins._caller_requests import CallerRequests, RequestOrder
from bramleystair.standins._control import ControlServer
from bramleystair.standins._process import wait_for_stop


def run_caller(
    *,
    host: str = "127.0.0.1",
    fabric: str = "127.0.0.1:6080",
    control_port: int = 6084,
    balancers: Sequence[str] = (),
    seed: int = 1,
) -> None:
    """Run the caller stand-in until SIGTERM.

    Parameters
    ----------
    host : str
        IP address of all sockets.
    fabric : str
        Endpoint of the fabric stand-in that takes inner packets.
    control_port : int
        TCP port of the control endpoint.
    balancers : Sequence[str]
        HTTP endpoints of balancers, as ``127.0.0.1:8080``.
    seed : int
        Seed of all random choices.
    """
    flows = CallerFlows(host, parse_endpoint(fabric))
    calls = CallerRequests(tuple(balancers), random.Random(seed))
    control = ControlServer(host, control_port, build_handlers(flows, calls))
    flows.start()
    control.start()
    wait_for_stop()
    control.close()
    calls.close()
    flows.close()


def build_handlers(flows: CallerFlows, calls: CallerRequests) -> dict:
    """Return the control calls."""

    def wrap(function):
        def call(document: object) -> dict:
            function(document)
            return {}

        return call

    return {
        ("POST", "/flows"): wrap(lambda values: flows.open(FlowOrder(**values))),
        ("DELETE", "/flows"): wrap(lambda _: flows.stop_sending()),
        ("POST", "/requests"): wrap(lambda values: calls.begin(RequestOrder(**values))),
        ("DELETE", "/requests"): wrap(lambda _: calls.finish()),
        ("PUT", "/balancers"): wrap(lambda values: calls.set_balancers(tuple(values))),
        ("GET", "/flows"): lambda _: flows.report(),
        ("GET", "/requests"): lambda _: calls.report(),
    }
