"""HTTP endpoint through which tests and the demonstration control a stand-in."""

import json
import threading
from collections.abc import Callable

from cheroot.wsgi import Server
from werkzeug import Request, Response

THREADS = 4

Handler = Callable[[object], object]


class ControlServer:
    """HTTP server for JSON calls.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 picks a free one.
    handlers : dict of (str, str) to callable
        Handlers by method and path. Each takes the parsed JSON body, or None without a
        body, and returns the JSON response.
    """

    def __init__(
        self, host: str, port: int, handlers: dict[tuple[str, str], Handler]
    ) -> None:
        self._handlers = handlers
        self._server = Server((host, port), self._respond, numthreads=THREADS)
        self._thread = threading.Thread(
            target=self._server.serve, name="control", daemon=True
        )

    def start(self) -> None:
        """Open the port and serve in background threads."""
        self._server.prepare()
        self._thread.start()

    @property
    def port(self) -> int:
        """TCP port of the server."""
        return self._server.bind_addr[1]

    def close(self) -> None:
        """Close the port and join the threads."""
        self._server.stop()
        self._thread.join()

    @Request.application
    def _respond(self, request: Request) -> Response:
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            return Response("not found\n", 404)
        data = request.get_data()
        try:
            answer = handler(json.loads(data) if data else None)
        except (KeyError, TypeError, ValueError) as error:
            return Response(f"{error!r}\n", 400)
        return Response(json.dumps(answer), mimetype="application/json")
