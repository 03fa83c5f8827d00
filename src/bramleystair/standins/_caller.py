"""Stand-in for callers: UDP flows through the fabric, and HTTP requests."""

import random
from collections.abc import Sequence

from bramleystair.fabric import parse_endpoint
from bramleystair.standins._caller_flows import CallerFlows, FlowSpec
from bramleystair.standins._caller_requests import CallerRequests, RequestSpec
from bramleystair.standins._control import ControlServer
from bramleystair.standins._signals import wait_for_stop_signal


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
        IP address to bind.
    fabric : str
        Endpoint of the fabric stand-in for inner packets.
    control_port : int
        TCP port of the control endpoint.
    balancers : Sequence[str]
        HTTP endpoints of balancers, such as ``127.0.0.1:8080``.
    seed : int
        Seed of all random choices.
    """
    flows = CallerFlows(host, parse_endpoint(fabric))
    requests = CallerRequests(tuple(balancers), random.Random(seed))
    control = ControlServer(host, control_port, build_handlers(flows, requests))
    flows.start()
    control.start()
    wait_for_stop_signal()
    control.close()
    requests.close()
    flows.close()


def build_handlers(flows: CallerFlows, requests: CallerRequests) -> dict:
    """Return the control handlers by method and path."""

    def respond_empty(function):
        def call(document: object) -> dict:
            function(document)
            return {}

        return call

    return {
        ("POST", "/flows"): respond_empty(
            lambda values: flows.open(FlowSpec(**values))
        ),
        ("DELETE", "/flows"): respond_empty(lambda _: flows.stop_sending()),
        ("POST", "/requests"): respond_empty(
            lambda values: requests.start_sending(RequestSpec(**values))
        ),
        ("DELETE", "/requests"): respond_empty(lambda _: requests.stop_sending()),
        ("PUT", "/balancers"): respond_empty(
            lambda values: requests.set_balancers(tuple(values))
        ),
        ("GET", "/flows"): lambda _: flows.report(),
        ("GET", "/requests"): lambda _: requests.report(),
    }
