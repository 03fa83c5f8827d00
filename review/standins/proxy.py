"""TCP path between two machines that may be partitioned for some time."""

import socket
import threading
import time

# Delay of the first retransmission of TCP; each further one takes twice as long.
FIRST_RETRANSMISSION_S = 0.2


class Link:
    """Forward connections from `address` to `target`.

    A partition holds up the bytes of connections that exist. After it, they arrive with
    the sender's next retransmission, also if the sender has closed the connection.
    Connections that are opened during a partition are not established.
    """

    def __init__(self, address, target):
        self.address = address
        self._target = target
        self._is_cut = False
        self._is_closed = False
        self._healed = threading.Condition()
        self._listener = socket.create_server(address)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Begin a partition."""
        with self._healed:
            self._is_cut = True

    def heal(self):
        """End the partition."""
        with self._healed:
            self._is_cut = False
            self._healed.notify_all()

    def close(self):
        """Accept no more connections."""
        self._is_closed = True
        self._listener.close()

    def _accept(self):
        while not self._is_closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._is_cut:
                threading.Thread(target=_drop, args=(near,), daemon=True).start()
                continue
            try:
                far = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source, sink):
        while True:
            try:
                data = source.recv(65_536)
                self._wait_for_delivery(time.monotonic())
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return

    def _wait_for_delivery(self, sent_s):
        if not self._is_cut:
            return
        with self._healed:
            while self._is_cut:
                self._healed.wait()
        delay_s, due_s = FIRST_RETRANSMISSION_S, sent_s
        while due_s < time.monotonic():
            due_s += delay_s
            delay_s *= 2
        time.sleep(due_s - time.monotonic())


def _drop(sock):
    """Read until the peer gives up."""
    sock.settimeout(10.0)
    try:
        while sock.recv(65_536):
            continue
    except OSError:
        return
    finally:
        sock.close()
