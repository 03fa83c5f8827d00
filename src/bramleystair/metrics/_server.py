"""HTTP server of `/metrics`, `/healthz` and `/status`."""

import json
import threading
from collections.abc import Callable

import attrs
from cheroot.wsgi import Server
from werkzeug import Request, Response

from bramleystair.metrics._registry import Metrics
from bramleystair.metrics._status import NodeStatus

THREADS = 2


class MetricsServer:
    """HTTP server of the metrics, health and status of this process.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free port.
    metrics : Metrics
        Registry that `/metrics` renders.
    get_health : callable
        Returns the state that `/healthz` reports, with status 503 unless its value
        ``"ready"`` is true.
    get_status : callable
        Returns the state that `/status` reports to operators; all counters are added.
    before_render : callable, optional
        Called before each `/metrics` response, to set gauges.
    """

    def __init__(
        self,
        host: str,
        port: int,
        metrics: Metrics,
        get_health: Callable[[], dict],
        get_status: Callable[[], NodeStatus],
        before_render: Callable[[], None] | None = None,
    ) -> None:
        self._metrics = metrics
        self._get_health = get_health
        self._get_status = get_status
        self._before_render = before_render
        self._server = Server(
            (host, port), self._respond, numthreads=THREADS, max=THREADS
        )
        self._thread = threading.Thread(
            target=self._server.serve, name="metrics", daemon=True
        )

    def start(self) -> None:
        """Open the port and serve requests on separate threads."""
        self._server.prepare()
        self._thread.start()

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.bind_addr[1]

    def close(self) -> None:
        """Close the port and wait for the threads to end."""
        self._server.stop()
        self._thread.join()

    @Request.application
    def _respond(self, request: Request) -> Response:
        if request.path == "/healthz":
            health = self._get_health()
            status = 200 if health.get("ready") else 503
            return Response(json.dumps(health), status, mimetype="application/json")
        if request.path == "/status":
            counters = self._metrics.list_counts()
            status = attrs.evolve(self._get_status(), counters=counters)
            return Response(
                json.dumps(attrs.asdict(status)), mimetype="application/json"
            )
        if request.path != "/metrics":
            return Response("not found\n", 404)
        if self._before_render is not None:
            self._before_render()
        body, headers = self._metrics.render()
        return Response(body, headers=headers)
