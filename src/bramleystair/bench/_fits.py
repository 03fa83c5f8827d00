"""Slopes of measured costs."""

import statistics
import time
from collections.abc import Callable, Iterable

import attrs
import numpy as np

MICRO = 1e6
SIGNIFICANT_ERRORS = 2


@attrs.frozen
class Slope:
    """A cost measured at several sizes, with the line of least squares.

    Parameters
    ----------
    name, size, unit : str
        What was measured, against which size, and its unit.
    sizes, costs : tuple of float
        The points.
    intercept, slope, error : float
        Line, and the standard error of its slope.
    """

    name: str
    size: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    intercept: float
    slope: float
    error: float

    def predict(self, size: float) -> float:
        """Return the cost that the line gives at `size`.

        A slope within two standard errors of 0 is none: the mean is returned.
        """
        if abs(self.slope) <= SIGNIFICANT_ERRORS * self.error:
            return statistics.mean(self.costs)
        return self.intercept + self.slope * size


def fit_slope(name: str, size: str, unit: str, points: Iterable[tuple]) -> Slope:
    """Return the line of least squares through (size, cost) `points`."""
    sizes, costs = (tuple(map(float, axis)) for axis in zip(*points, strict=True))
    matrix = np.column_stack([np.ones(len(sizes)), sizes])
    solution, *_ = np.linalg.lstsq(matrix, np.array(costs), rcond=None)
    residuals = np.array(costs) - matrix @ solution
    variance = residuals @ residuals / max(1, len(sizes) - 2)
    error = float(np.sqrt(variance * np.linalg.inv(matrix.T @ matrix)[1, 1]))
    intercept, slope = map(float, solution)
    return Slope(name, size, unit, sizes, costs, intercept, slope, error)


def time_us(function: Callable[[], object], repeats: int = 200) -> float:
    """Return the median time of `function` in microseconds."""
    times = []
    for _ in range(repeats):
        started = time.perf_counter()
        function()
        times.append(time.perf_counter() - started)
    return statistics.median(times) * MICRO
