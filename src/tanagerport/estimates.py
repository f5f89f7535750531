"""Estimates of output length and of upstreams' speed, from observations."""

import dataclasses
import math

from tanagerport.model import Request, WorkClass

_LENGTH_WEIGHT = 0.05
_P90_STEP = 0.1
_SPEED_WEIGHT = 0.3
# Weight that remains of older observations after each new one.
_KEPT = 0.9
_BYTES_PER_TOKEN = 4
# Assumed until an upstream was observed.
_DEFAULT_FIRST_TOKEN_S = 0.1
_DEFAULT_PREFILL_S_PER_TOKEN = 0.0001
_DEFAULT_INTERVAL_S = 0.02


def prompt_tokens(request: Request) -> float:
    """Returns the estimated number of prompt tokens."""
    return max(1.0, len(request.prompt) / _BYTES_PER_TOKEN)


@dataclasses.dataclass
class _Length:
    mean: float
    p90: float


class LengthEstimator:
    """Output length by class: moving mean and 90th percentile.

    Not safe for concurrent use.
    """

    def __init__(self) -> None:
        self._lengths: dict[str, _Length] = {}

    def mean(self, request: Request) -> float:
        """Returns the expected tokens of an answer."""
        return self._bounded(request, self._get(request.work_class).mean)

    def p90(self, request: Request) -> float:
        """Returns the tokens that 90 in 100 answers stay below."""
        return self._bounded(request, self._get(request.work_class).p90)

    def record(self, work_class: WorkClass, output_tokens: int) -> None:
        """Takes the length of a whole answer."""
        length = self._get(work_class)
        length.mean += _LENGTH_WEIGHT * (output_tokens - length.mean)
        step = _P90_STEP * max(length.mean, 1.0)
        # Steps up and down balance when one answer in ten is longer.
        if output_tokens > length.p90:
            length.p90 += 0.9 * step
        else:
            length.p90 = max(1.0, length.p90 - 0.1 * step)

    def _get(self, work_class: WorkClass) -> _Length:
        length = self._lengths.get(work_class.name)
        if length is None:
            stated = float(work_class.typical_output_tokens)
            length = self._lengths[work_class.name] = _Length(stated, stated)
        return length

    @staticmethod
    def _bounded(request: Request, tokens: float) -> float:
        if request.max_output_tokens is not None:
            return min(tokens, float(request.max_output_tokens))
        return tokens


class SpeedEstimator:
    """Speed of one upstream.

    The time to the first token is fitted as a line over the prompt tokens
    that were not cached; older observations lose weight.

    Not safe for concurrent use.
    """

    def __init__(self) -> None:
        self._samples = 0
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self._interval_s: float | None = None
        self._base_s = _DEFAULT_FIRST_TOKEN_S
        self._slope_s = _DEFAULT_PREFILL_S_PER_TOKEN

    @property
    def is_known(self) -> bool:
        """Whether the upstream was observed."""
        return self._samples > 0

    @property
    def samples(self) -> int:
        """Number of first tokens observed."""
        return self._samples

    @property
    def interval_s(self) -> float:
        """Expected seconds between tokens."""
        if self._interval_s is None:
            return _DEFAULT_INTERVAL_S
        return self._interval_s

    @property
    def parameters(self) -> tuple[float, float, float]:
        """Base seconds, seconds per prompt token and token interval."""
        return self._base_s, self._slope_s, self.interval_s

    def first_token_s(self, tokens: float) -> float:
        """Returns the expected seconds to the first token.

        Args:
            tokens: Prompt tokens that are not cached.
        """
        return self._base_s + self._slope_s * tokens

    def record_first_token(self, tokens: float, seconds: float) -> None:
        """Takes an observed time to the first token."""
        self._samples += 1
        self._weight = self._weight * _KEPT + 1.0
        self._x = self._x * _KEPT + tokens
        self._y = self._y * _KEPT + seconds
        self._xx = self._xx * _KEPT + tokens * tokens
        self._xy = self._xy * _KEPT + tokens * seconds
        self._fit()

    def record_interval(self, seconds: float) -> None:
        """Takes an observed mean time between tokens."""
        if self._interval_s is None:
            self._interval_s = seconds
        else:
            self._interval_s += _SPEED_WEIGHT * (seconds - self._interval_s)

    def _fit(self) -> None:
        mean_x, mean_y = self._x / self._weight, self._y / self._weight
        variance = self._xx / self._weight - mean_x * mean_x
        # Prompts of nearly one length do not determine a slope.
        if variance > 1.0 and math.sqrt(variance) > 0.1 * mean_x:
            covariance = self._xy / self._weight - mean_x * mean_y
            slope = covariance / variance
        else:
            slope = min(self._slope_s, mean_y / mean_x)
        self._slope_s = min(max(slope, 0.0), mean_y / mean_x)
        self._base_s = mean_y - self._slope_s * mean_x
