"""TCP proxy between a node and the store that injects faults."""

import enum
import socket
import struct
import threading
import time

from bramleystair.logs import get_logger

log = get_logger("proxy")

POLL_S = 0.05
DELAY_S = 0.4
CHUNK_BYTES = 65_536


class Mode(enum.StrEnum):
    """What the proxy does with connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Proxy:
    """Relay connections to `target`, subject to `mode`.

    Parameters
    ----------
    host : str
        Address to listen on; the port is free.
    target : tuple of str and int
        The store.
    """

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.mode = Mode.PASS
        self._target = target
        self._is_closed = False
        self._listener = socket.create_server((host, 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening; open connections end with their peers."""
        self._is_closed = True
        self._listener.close()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except OSError as error:
                log.debug("listener closed: %s", error)
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target, timeout=5)
        except OSError as error:
            log.debug("store refused: %s", error)
            client.close()
            return
        for source, sink, is_answer in (
            (client, server, False),
            (server, client, True),
        ):
            threading.Thread(
                target=self._relay, args=(source, sink, is_answer), daemon=True
            ).start()

    def _relay(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        while not self._is_closed:
            if self.mode is Mode.RESET:
                break
            try:
                # The other direction may have closed both ends meanwhile.
                source.settimeout(POLL_S)
                data = source.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                log.debug("connection failed: %s", error)
                break
            if not data:
                break
            if self.mode is Mode.DELAY:
                time.sleep(DELAY_S)
            is_lost = self.mode is Mode.SILENT or (
                self.mode is Mode.ONE_WAY and is_answer
            )
            if is_lost:
                continue
            try:
                sink.sendall(data)
            except OSError as error:
                log.debug("connection failed: %s", error)
                break
        for end in (source, sink):
            _abort(end)


def _abort(sock: socket.socket) -> None:
    try:
        # Closes with a reset, as a path that drops the connection.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    except OSError as error:
        log.debug("already closed: %s", error)
