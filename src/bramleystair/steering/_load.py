"""Load of a backend server, measured from the packets that its agent forwards."""

import math

# Weight of the newest sample in the moving average of the response time.
SERVICE_TIME_WEIGHT = 0.1


class LoadMeter:
    """Keep moving averages of the requests in progress and of the response time.

    Parameters
    ----------
    window_s : float
        Time constant of the average of requests in progress.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._updated_s: float | None = None
        self.running = 0
        self.mean_running = 0.0
        self.service_s = 0.0

    def start_request(self, now: float) -> None:
        """Count a request that was delivered to the server."""
        self.update(now)
        self.running += 1

    def end_request(self, started_s: float | None, now: float) -> None:
        """Count the end of a request.

        Parameters
        ----------
        started_s : float or None
            Start of an answered request; None for a request without a response.
        """
        self.update(now)
        self.running -= 1
        if started_s is None:
            return
        sample_s = now - started_s
        if self.service_s == 0:
            self.service_s = sample_s
            return
        self.service_s += SERVICE_TIME_WEIGHT * (sample_s - self.service_s)

    def reset(self, now: float) -> None:
        """Discard the measurements of a replaced server."""
        self.running = 0
        self.mean_running = 0.0
        self.service_s = 0.0
        self._updated_s = now

    def update(self, now: float) -> None:
        """Advance the average of requests in progress to `now`."""
        if self._updated_s is not None:
            weight = 1 - math.exp((self._updated_s - now) / self._window_s)
            self.mean_running += weight * (self.running - self.mean_running)
        self._updated_s = now
