"""Fault-injecting TCP proxy between a node and the store."""

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
    """Treatment of connections: forward, delay, reset or drop data.

    `ONE_WAY` drops only the data from the store.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Proxy:
    """Forward connections to `target` according to `mode`.

    Parameters
    ----------
    host : str
        Address to listen on; the system chooses the port.
    target : tuple of str and int
        Address and port of the store.
    """

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.mode = Mode.PASS
        self._target = target
        self._losing_until_s = 0.0
        self._is_closed = False
        self._listener = socket.create_server((host, 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def lose_responses(self, seconds: float) -> None:
        """Drop the responses of the store for some seconds.

        The connections stay open, and those with a lost response return nothing more.
        """
        self._losing_until_s = time.monotonic() + seconds

    def close(self) -> None:
        """Stop listening and let the relay threads close their connections."""
        self._is_closed = True
        self._listener.close()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                client, _ = self._listener.accept()
            except OSError as error:
                log.debug("listener closed: %s", error)
                return
            threading.Thread(
                target=self._start_relay, args=(client,), daemon=True
            ).start()

    def _start_relay(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target, timeout=5)
        except OSError as error:
            log.debug("cannot connect to the store: %s", error)
            client.close()
            return
        for source, sink, is_response in (
            (client, server, False),
            (server, client, True),
        ):
            threading.Thread(
                target=self._relay, args=(source, sink, is_response), daemon=True
            ).start()

    def _relay(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        has_lost_response = False
        while not self._is_closed:
            if self.mode is Mode.RESET:
                break
            try:
                # The thread of the other direction may have closed both sockets.
                source.settimeout(POLL_S)
                data = source.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
            except OSError as error:
                log.debug("receive failed: %s", error)
                break
            if not data:
                break
            if self.mode is Mode.DELAY:
                time.sleep(DELAY_S)
            if is_response and time.monotonic() < self._losing_until_s:
                has_lost_response = True
            is_one_way = self.mode is Mode.ONE_WAY and is_response
            if self.mode is Mode.SILENT or is_one_way or has_lost_response:
                continue
            try:
                sink.sendall(data)
            except OSError as error:
                log.debug("send failed: %s", error)
                break
        for sock in (source, sink):
            _reset_connection(sock)


def _reset_connection(sock: socket.socket) -> None:
    try:
        # A linger time of 0 makes close send a reset instead of a FIN.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    except OSError as error:
        log.debug("cannot reset connection: %s", error)
