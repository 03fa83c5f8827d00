"""Settings of the callers' HTTP server."""

import attrs


@attrs.frozen
class CallerSettings:
    """Settings of the callers' HTTP server.

    Parameters
    ----------
    threads : int
        Calls that are carried at once.
    max_body_bytes : int
        Longest request body.
    max_idle_connections : int
        Connections that are kept open between calls.
    max_deadline_s : float
        Longest deadline that a caller may name.
    tick_s : float
        Interval between the dispatcher's ticks.
    disconnect_poll_s : float
        Interval at which a waiting caller's connection is checked.
    stop_timeout_s : float
        Longest time that a stop waits for calls in hand.
    """

    threads: int = 128
    max_body_bytes: int = 8 * 2**20
    max_idle_connections: int = 4096
    max_deadline_s: float = 3600.0
    tick_s: float = 0.02
    disconnect_poll_s: float = 0.1
    stop_timeout_s: float = 60.0
