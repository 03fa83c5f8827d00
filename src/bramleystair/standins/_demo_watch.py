"""Sampling of the agents while the demonstration runs."""

import math
import threading
import time

from bramleystair.standins import _deployments as place
from bramleystair.standins._deployments import Server
from bramleystair.standins._fleet import call, read_metrics, try_call

SAMPLE_PERIOD_S = 0.25
GIVEN_UP = "bramleystair_zone_given_up_total"
LAST_FORWARD = "bramleystair_last_forward_s"
LAST_PACKET = "bramleystair_last_packet_s"
FLOWS = "bramleystair_flows{"


class Watch:
    """Sample the cold backend server, and read the metrics of agents.

    Parameters
    ----------
    servers : list of Server
        All backend servers.
    cold_server : Server
        The one that starts during the job.
    """

    def __init__(self, servers: list[Server], cold_server: Server) -> None:
        self.cold_started_s: float | None = None
        self.cold_overload = 0
        self.cold_flows = 0
        self._servers = servers
        self._cold_server = cold_server
        self._given_up_before: dict[str, float] = {}
        self._is_running = True
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to sample."""
        self._thread.start()

    def stop(self) -> None:
        """End sampling."""
        self._is_running = False
        self._thread.join()

    def get_health(self, server: Server) -> dict:
        """Return what the agent of `server` says of itself; empty if it is gone."""
        return try_call("GET", f"{_build_url(server.agent_host)}/healthz") or {}

    def read_before_mark(self) -> None:
        """Remember the counters that `count_given_up` starts from."""
        self._given_up_before = {
            server.name: _add_up(_read_agent(server), GIVEN_UP)
            for server in self._servers
        }

    def count_given_up(self, zone: str) -> int:
        """Return how many flows the agents of `zone` gave up since the mark."""
        return int(
            sum(
                _add_up(_read_agent(server), GIVEN_UP)
                - self._given_up_before.get(server.name, 0)
                for server in self._servers
                if server.zone == zone
            )
        )

    def measure_quiet(self, zone: str, mark_s: float, balancers: list[int]) -> float:
        """Return the seconds from the mark to the last packet into `zone`.

        Parameters
        ----------
        zone : str
            Availability zone that is out of service.
        mark_s : float
            Time at which the mark was accepted; all processes share the system's
            monotonic clock.
        balancers : list of int
            Numbers of the balancers in `zone`.
        """
        last = [mark_s]
        for server in self._servers:
            if server.zone == zone:
                last.append(_add_up(_read_agent(server), LAST_FORWARD))
        for number in balancers:
            host = place.BALANCER_HOST.format(number)
            metrics = read_metrics(f"{_build_url(host)}/metrics")
            last.append(_add_up(metrics, LAST_PACKET))
        return max(last) - mark_s

    def read_runs(self) -> dict[str, int]:
        """Return how often each ticket ran, summed over all backend servers."""
        runs: dict[str, int] = {}
        for server in self._servers:
            host = f"http://{server.backend_host}:{place.BACKEND_PORT}"
            for name, count in call("GET", f"{host}/record")["runs"].items():
                runs[name] = runs.get(name, 0) + count
        return runs

    def _run(self) -> None:
        while self._is_running:
            if self.cold_started_s is not None:
                self._sample_cold(self.cold_started_s)
            time.sleep(SAMPLE_PERIOD_S)

    def _sample_cold(self, started_s: float) -> None:
        flows = _add_up(_read_agent(self._cold_server), FLOWS)
        # The agent itself started later, so its own limit is at most this one.
        limit = compute_cold_limit(time.monotonic() - started_s)
        self.cold_flows = max(self.cold_flows, int(flows))
        self.cold_overload = max(self.cold_overload, int(flows) - limit)


def compute_cold_limit(age_s: float) -> int:
    """Return the flows that a server of age `age_s` may hold."""
    rise = (1 - place.INITIAL_FRACTION) * min(1.0, age_s / place.WARM_UP_S)
    return max(1, math.floor(place.MAX_FLOWS * (place.INITIAL_FRACTION + rise)))


def _build_url(host: str) -> str:
    return f"http://{host}:{place.METRICS_PORT}"


def _read_agent(server: Server) -> dict[str, float]:
    return read_metrics(f"{_build_url(server.agent_host)}/metrics")


def _add_up(metrics: dict[str, float], prefix: str) -> float:
    return sum(value for name, value in metrics.items() if name.startswith(prefix))
