"""One thread that runs UDP sockets and timers; all clients and servers live on it."""

import heapq
import itertools
import selectors
import socket
import threading
import time
import traceback


class Reactor:
    """Call back for datagrams and timers, and run functions of other threads."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._timers = []
        self._order = itertools.count()
        self._calls = []
        self._lock = threading.Lock()
        self._is_running = True
        self.errors = []
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, self._wake)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def open_udp(self, address, on_datagram):
        """Return a bound socket; `on_datagram` gets each datagram."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_048_576)
        sock.bind(address)
        sock.setblocking(False)
        self.call(lambda: self._register(sock, on_datagram))
        return sock

    def close_udp(self, sock):
        """Close a socket of `open_udp`."""

        def close():
            self._selector.unregister(sock)
            sock.close()

        self.call(close)

    def call(self, function):
        """Run `function` on the thread of the reactor."""
        with self._lock:
            self._calls.append(function)
        self._wake_writer.send(b"x")

    def call_and_wait(self, function):
        """Run `function` on the thread of the reactor and return its result."""
        done, result = threading.Event(), []

        def run():
            result.append(function())
            done.set()

        self.call(run)
        if not done.wait(10):
            raise TimeoutError("the reactor does not respond")
        return result[0]

    def call_later(self, delay_s, function):
        """Run `function` after `delay_s`; only on the thread of the reactor."""
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._timers, (due_s, next(self._order), function))

    def stop(self):
        """End the thread."""
        self._is_running = False
        self._wake_writer.send(b"x")
        self._thread.join(5)

    def _register(self, sock, on_datagram):
        def receive():
            for _ in range(64):
                try:
                    data, sender = sock.recvfrom(65_535)
                except OSError:
                    return
                on_datagram(data, sender)

        self._selector.register(sock, selectors.EVENT_READ, receive)

    def _wake(self):
        self._wake_reader.recv(4096)
        with self._lock:
            calls, self._calls = self._calls, []
        for function in calls:
            self._guard(function)

    def _run(self):
        while self._is_running:
            wait_s = 1.0
            if self._timers:
                wait_s = min(wait_s, max(0.0, self._timers[0][0] - time.monotonic()))
            for key, _ in self._selector.select(wait_s):
                self._guard(key.data)
            now = time.monotonic()
            while self._timers and self._timers[0][0] <= now:
                self._guard(heapq.heappop(self._timers)[2])

    def _guard(self, function):
        try:
            function()
        except Exception:
            self.errors.append(traceback.format_exc())
