"""Slopes by least squares, with their standard errors."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec
import numpy as np


class Slope(msgspec.Struct, frozen=True):
    """A fitted slope; `error` is its standard error, None where there are too few points to tell."""

    value: float
    error: float | None


def fit_slope(x: Sequence[float], y: Sequence[float]) -> Slope | None:
    """Slope of the straight line through the points; None for fewer than two different x."""
    xs, ys = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    spread = float(np.sum((xs - xs.mean()) ** 2)) if len(xs) else 0.0
    if spread == 0.0:
        return None
    value = float(np.sum((xs - xs.mean()) * (ys - ys.mean()))) / spread
    freedom = len(xs) - 2
    if freedom < 1:
        return Slope(value, None)
    residuals = ys - ys.mean() - value * (xs - xs.mean())
    return Slope(value, math.sqrt(float(np.sum(residuals**2)) / freedom / spread))


def fit_exponent(x: Sequence[float], y: Sequence[float]) -> Slope | None:
    """Slope on logarithmic axes: 0 is flat, 1 is proportional; None where a value is not positive."""
    if min(x, default=0.0) <= 0 or min(y, default=0.0) <= 0:
        return None
    return fit_slope(np.log(x).tolist(), np.log(y).tolist())
