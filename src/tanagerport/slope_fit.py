"""Linear fits of a measured cost against a size."""

import dataclasses
import gc
import statistics
import tracemalloc
from collections.abc import Callable, Sequence


@dataclasses.dataclass(frozen=True)
class Slope:
    """Cost that grows with a size, fitted by least squares.

    Attributes:
        name: What was measured.
        unit: Unit of the slope, such as `s per exchange`.
        sizes: Sizes tried.
        values: Cost at each size.
        slope: Cost of one more.
        intercept: Cost at size 0.
        residual: Largest distance of a value from the line, as a share of
            the largest value.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def to_document(self) -> dict[str, object]:
        """Returns the slope for JSON, rounded to 4 significant digits."""
        return {
            "unit": self.unit,
            "sizes": list(self.sizes),
            "values": [_rounded(value) for value in self.values],
            "slope": _rounded(self.slope),
            "intercept": _rounded(self.intercept),
            "residual": _rounded(self.residual),
        }


def fit_slope(
    name: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Slope:
    """Measures the cost at each size and fits a line.

    Args:
        name: What is measured.
        unit: Unit of the slope.
        sizes: At least three sizes.
        measure: Returns the cost at a size.
    """
    if len(set(sizes)) < 3:
        raise ValueError(f"{name}: at least 3 sizes are needed, not {sizes}")
    values = [measure(size) for size in sizes]
    line = statistics.linear_regression(sizes, values)
    distances = [
        abs(value - (line.slope * size + line.intercept))
        for size, value in zip(sizes, values, strict=True)
    ]
    largest = max(abs(value) for value in values) or 1.0
    return Slope(
        name,
        unit,
        tuple(sizes),
        tuple(values),
        line.slope,
        line.intercept,
        max(distances) / largest,
    )


def memory_of(build: Callable[[], object]) -> float:
    """Returns bytes that the built object holds."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return float(after - before)


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")
