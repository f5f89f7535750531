"""Estimates of output length and upstream speed from observations."""

import dataclasses
import math

from tanagerport.model import Request, WorkClass

_LENGTH_EWMA_WEIGHT = 0.05
# Step of the 90th percentile, as a fraction of the mean length.
_P90_STEP_FRACTION = 0.1
_INTERVAL_EWMA_WEIGHT = 0.3
# Factor by which each new observation reduces the weight of older ones.
_DECAY_FACTOR = 0.9
_BYTES_PER_TOKEN = 4
# Used until an upstream has been observed.
_DEFAULT_FIRST_TOKEN_S = 0.1
_DEFAULT_PREFILL_S_PER_TOKEN = 0.0001
_DEFAULT_INTERVAL_S = 0.02


def prompt_tokens(request: Request) -> float:
    """Returns the estimated number of prompt tokens."""
    return max(1.0, len(request.prompt) / _BYTES_PER_TOKEN)


@dataclasses.dataclass
class _LengthEstimate:
    mean: float
    p90: float


class LengthEstimator:
    """Estimates the mean and 90th percentile of the output length by class.

    Not safe for concurrent use.
    """

    def __init__(self) -> None:
        self._estimates: dict[str, _LengthEstimate] = {}

    def mean(self, request: Request) -> float:
        """Returns the expected number of tokens in an answer."""
        return self._cap_to_request(
            request, self._get_estimate(request.work_class).mean
        )

    def p90(self, request: Request) -> float:
        """Returns the estimated 90th percentile of tokens in an answer."""
        return self._cap_to_request(
            request, self._get_estimate(request.work_class).p90
        )

    def record(self, work_class: WorkClass, output_tokens: int) -> None:
        """Records the length of a complete answer."""
        estimate = self._get_estimate(work_class)
        estimate.mean += _LENGTH_EWMA_WEIGHT * (output_tokens - estimate.mean)
        step = _P90_STEP_FRACTION * max(estimate.mean, 1.0)
        # Stochastic approximation: the steps up and down cancel out when one
        # answer in ten is longer than the estimate.
        if output_tokens > estimate.p90:
            estimate.p90 += 0.9 * step
        else:
            estimate.p90 = max(1.0, estimate.p90 - 0.1 * step)

    def _get_estimate(self, work_class: WorkClass) -> _LengthEstimate:
        estimate = self._estimates.get(work_class.name)
        if estimate is None:
            initial = float(work_class.typical_output_tokens)
            estimate = self._estimates[work_class.name] = _LengthEstimate(
                initial, initial
            )
        return estimate

    @staticmethod
    def _cap_to_request(request: Request, tokens: float) -> float:
        if request.max_output_tokens is not None:
            return min(tokens, float(request.max_output_tokens))
        return tokens


class SpeedEstimator:
    """Estimates the speed of one upstream.

    The time to the first token is a linear function of the prompt tokens that
    were not cached, fitted by least squares with exponentially decaying
    weights.

    Not safe for concurrent use.
    """

    def __init__(self) -> None:
        self._sample_count = 0
        self._sum_weight = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0
        self._interval_s: float | None = None
        self._base_s = _DEFAULT_FIRST_TOKEN_S
        self._prefill_s_per_token = _DEFAULT_PREFILL_S_PER_TOKEN

    @property
    def is_known(self) -> bool:
        """Whether the upstream has been observed."""
        return self._sample_count > 0

    @property
    def sample_count(self) -> int:
        """Number of observed times to the first token."""
        return self._sample_count

    @property
    def interval_s(self) -> float:
        """Expected seconds between two tokens."""
        if self._interval_s is None:
            return _DEFAULT_INTERVAL_S
        return self._interval_s

    @property
    def parameters(self) -> tuple[float, float, float]:
        """Base seconds, seconds per prompt token and token interval."""
        return self._base_s, self._prefill_s_per_token, self.interval_s

    def first_token_s(self, tokens: float) -> float:
        """Returns the expected seconds to the first token.

        Args:
            tokens: Number of prompt tokens that are not cached.
        """
        return self._base_s + self._prefill_s_per_token * tokens

    def record_first_token(self, tokens: float, seconds: float) -> None:
        """Records an observed time to the first token.

        Args:
            tokens: Number of prompt tokens that were not cached.
            seconds: Time to the first token.
        """
        self._sample_count += 1
        self._sum_weight = self._sum_weight * _DECAY_FACTOR + 1.0
        self._sum_x = self._sum_x * _DECAY_FACTOR + tokens
        self._sum_y = self._sum_y * _DECAY_FACTOR + seconds
        self._sum_xx = self._sum_xx * _DECAY_FACTOR + tokens * tokens
        self._sum_xy = self._sum_xy * _DECAY_FACTOR + tokens * seconds
        self._fit()

    def record_interval(self, seconds: float) -> None:
        """Records an observed mean time between two tokens."""
        if self._interval_s is None:
            self._interval_s = seconds
        else:
            self._interval_s += _INTERVAL_EWMA_WEIGHT * (
                seconds - self._interval_s
            )

    def _fit(self) -> None:
        mean_x, mean_y = (
            self._sum_x / self._sum_weight,
            self._sum_y / self._sum_weight,
        )
        variance = self._sum_xx / self._sum_weight - mean_x * mean_x
        # Prompts of nearly equal length don't determine a slope.
        if variance > 1.0 and math.sqrt(variance) > 0.1 * mean_x:
            covariance = self._sum_xy / self._sum_weight - mean_x * mean_y
            slope = covariance / variance
        else:
            slope = min(self._prefill_s_per_token, mean_y / mean_x)
        self._prefill_s_per_token = min(max(slope, 0.0), mean_y / mean_x)
        self._base_s = mean_y - self._prefill_s_per_token * mean_x
