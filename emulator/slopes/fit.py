"""Slopes fitted by least squares, with their standard errors."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
import numpy as np


class Slope(msgspec.Struct, frozen=True):
    """A fitted slope; `error` is its standard error, None with fewer than three points."""

    value: float
    error: float | None


def fit_slope(x: Sequence[float], y: Sequence[float]) -> Slope | None:
    """Return the slope of the straight line through the points; None for fewer than two different x."""
    xs, ys = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    x_squared_deviations = float(np.sum((xs - xs.mean()) ** 2)) if len(xs) else 0.0
    if x_squared_deviations == 0.0:
        return None
    value = float(np.sum((xs - xs.mean()) * (ys - ys.mean()))) / x_squared_deviations
    degrees_of_freedom = len(xs) - 2
    if degrees_of_freedom < 1:
        return Slope(value, None)
    residuals = ys - ys.mean() - value * (xs - xs.mean())
    return Slope(value, math.sqrt(float(np.sum(residuals**2)) / degrees_of_freedom / x_squared_deviations))


def fit_exponent(x: Sequence[float], y: Sequence[float]) -> Slope | None:
    """Return the slope on logarithmic axes: 0 is constant, 1 is proportional.

    None for fewer than two different x, or if a value is not positive.
    """
    if min(x, default=0.0) <= 0 or min(y, default=0.0) <= 0:
        return None
    return fit_slope(np.log(x).tolist(), np.log(y).tolist())
