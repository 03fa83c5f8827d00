"""Settings of the HTTP server for callers."""

import attrs


@attrs.frozen
class CallerSettings:
    """Settings of the HTTP server for callers.

    Parameters
    ----------
    threads : int
        Maximum number of calls handled concurrently.
    max_body_bytes : int
        Maximum size of a request body.
    max_idle_connections : int
        Maximum number of idle connections kept open.
    max_deadline_s : float
        Longest deadline that a caller may specify.
    tick_s : float
        Interval between dispatcher ticks while calls are pending.
    disconnect_poll_s : float
        Interval at which the connection of a waiting caller is checked.
    stop_timeout_s : float
        Maximum time that a stop waits for calls in progress.
    """

    threads: int = 128
    max_body_bytes: int = 8 * 2**20
    max_idle_connections: int = 4096
    max_deadline_s: float = 3600.0
    tick_s: float = 0.02
    disconnect_poll_s: float = 0.1
    stop_timeout_s: float = 60.0
