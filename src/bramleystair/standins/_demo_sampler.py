"""Sampling of agent metrics while the demonstration runs."""

import math
import threading
import time

from bramleystair.standins import _deployments as deployments
from bramleystair.standins._deployments import Server
from bramleystair.standins._processes import call, read_metrics, try_call

SAMPLE_PERIOD_S = 0.25
GIVEN_UP_METRIC = "bramleystair_zone_given_up_total"
LAST_FORWARD_METRIC = "bramleystair_last_forward_s"
LAST_PACKET_METRIC = "bramleystair_last_packet_s"
FLOWS_METRIC_PREFIX = "bramleystair_flows{"


class AgentSampler:
    """Sample the cold backend server, and read metrics of agents and balancers.

    Parameters
    ----------
    servers : list of Server
        All backend servers.
    cold_server : Server
        Backend server that starts during the run.
    """

    def __init__(self, servers: list[Server], cold_server: Server) -> None:
        self.cold_started_s: float | None = None
        self.cold_overload = 0
        self.cold_flows = 0
        self._servers = servers
        self._cold_server = cold_server
        self._given_up_baseline: dict[str, float] = {}
        self._is_running = True
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sampling."""
        self._is_running = False
        self._thread.join()

    def get_health(self, server: Server) -> dict:
        """Return the health document of the agent of `server`; empty if unreachable."""
        return try_call("GET", f"{_build_url(server.agent_host)}/healthz") or {}

    def record_given_up_baseline(self) -> None:
        """Record the baseline of the counters for `count_given_up_flows`."""
        self._given_up_baseline = {
            server.name: _sum_metrics(_read_agent(server), GIVEN_UP_METRIC)
            for server in self._servers
        }

    def count_given_up_flows(self, zone: str) -> int:
        """Return the number of flows given up by agents of `zone` since the mark."""
        return int(
            sum(
                _sum_metrics(_read_agent(server), GIVEN_UP_METRIC)
                - self._given_up_baseline.get(server.name, 0)
                for server in self._servers
                if server.zone == zone
            )
        )

    def measure_last_packet_delay(
        self, zone: str, mark_s: float, balancers: list[int]
    ) -> float:
        """Return the seconds from the zone mark to the last packet into `zone`.

        Parameters
        ----------
        zone : str
            Availability zone that is out of service.
        mark_s : float
            Time at which the platform accepted the mark. All processes share the
            system's monotonic clock.
        balancers : list of int
            Numbers of the balancers in `zone`.
        """
        last_packets_s = [mark_s]
        for server in self._servers:
            if server.zone == zone:
                last_packets_s.append(
                    _sum_metrics(_read_agent(server), LAST_FORWARD_METRIC)
                )
        for number in balancers:
            host = deployments.BALANCER_HOST.format(number)
            metrics = read_metrics(f"{_build_url(host)}/metrics")
            last_packets_s.append(_sum_metrics(metrics, LAST_PACKET_METRIC))
        return max(last_packets_s) - mark_s

    def read_runs(self) -> dict[str, int]:
        """Return the number of runs of each request over all backend servers."""
        runs: dict[str, int] = {}
        for server in self._servers:
            host = f"http://{server.backend_host}:{deployments.BACKEND_PORT}"
            for name, count in call("GET", f"{host}/record")["runs"].items():
                runs[name] = runs.get(name, 0) + count
        return runs

    def _run(self) -> None:
        while self._is_running:
            if self.cold_started_s is not None:
                self._sample_cold(self.cold_started_s)
            time.sleep(SAMPLE_PERIOD_S)

    def _sample_cold(self, started_s: float) -> None:
        flows = _sum_metrics(_read_agent(self._cold_server), FLOWS_METRIC_PREFIX)
        # The agent started after `started_s`, so its actual limit is at most this one.
        limit = compute_warm_up_limit(time.monotonic() - started_s)
        self.cold_flows = max(self.cold_flows, int(flows))
        self.cold_overload = max(self.cold_overload, int(flows) - limit)


def compute_warm_up_limit(age_s: float) -> int:
    """Return the flow limit of a backend server `age_s` seconds into its warm-up."""
    increase = (1 - deployments.INITIAL_FRACTION) * min(
        1.0, age_s / deployments.WARM_UP_S
    )
    return max(
        1, math.floor(deployments.MAX_FLOWS * (deployments.INITIAL_FRACTION + increase))
    )


def _build_url(host: str) -> str:
    return f"http://{host}:{deployments.METRICS_PORT}"


def _read_agent(server: Server) -> dict[str, float]:
    return read_metrics(f"{_build_url(server.agent_host)}/metrics")


def _sum_metrics(metrics: dict[str, float], prefix: str) -> float:
    return sum(value for name, value in metrics.items() if name.startswith(prefix))
