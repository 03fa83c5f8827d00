"""Linear fits of measured costs."""

import statistics
import time
from collections.abc import Callable, Iterable

import attrs
import numpy as np

MICRO = 1e6
SIGNIFICANCE_STANDARD_ERRORS = 2


@attrs.frozen
class Slope:
    """A cost measured at several sizes, with its least-squares fit.

    Parameters
    ----------
    name, size, unit : str
        What was measured, the size that was varied, and the unit of the cost.
    sizes, costs : tuple of float
        Measured points.
    intercept, slope, error : float
        Fitted line, and the standard error of its slope.
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
        """Return the cost that the fit predicts at `size`.

        A slope within two standard errors of 0 counts as 0, and the mean cost is
        returned.
        """
        if abs(self.slope) <= SIGNIFICANCE_STANDARD_ERRORS * self.error:
            return statistics.mean(self.costs)
        return self.intercept + self.slope * size


def fit_slope(name: str, size: str, unit: str, points: Iterable[tuple]) -> Slope:
    """Return the least-squares fit of the (size, cost) `points`."""
    sizes, costs = (tuple(map(float, axis)) for axis in zip(*points, strict=True))
    matrix = np.column_stack([np.ones(len(sizes)), sizes])
    solution, *_ = np.linalg.lstsq(matrix, np.array(costs), rcond=None)
    residuals = np.array(costs) - matrix @ solution
    variance = residuals @ residuals / max(1, len(sizes) - 2)
    error = float(np.sqrt(variance * np.linalg.inv(matrix.T @ matrix)[1, 1]))
    intercept, slope = map(float, solution)
    return Slope(name, size, unit, sizes, costs, intercept, slope, error)


def measure_median_us(function: Callable[[], object], repeats: int = 200) -> float:
    """Return the median time of `function` in microseconds."""
    times_s = []
    for _ in range(repeats):
        start_s = time.perf_counter()
        function()
        times_s.append(time.perf_counter() - start_s)
    return statistics.median(times_s) * MICRO
