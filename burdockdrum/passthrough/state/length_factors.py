"""Track how the pace of a response depends on its length.

Short responses fall wholly into the prefill of a prompt or between two, and
many of them are written when there is much to prefill. So the mean time of a
decode step during them differs from that during long ones.
"""

from dataclasses import dataclass
import math

# Observations after which half of a deviation is trusted, the least gain of a
# later observation, and the limit of its step.
_HALF_TRUST_OBSERVATIONS = 6.0
_MIN_GAIN = 0.05
_MAX_STEP = math.log(2.0)


@dataclass(kw_only=True)
class _Deviation:
    value: float = 0.0
    observations: int = 0

    def update(self, ratio: float) -> None:
        step = math.log(ratio) - self.value
        step = max(-_MAX_STEP, min(_MAX_STEP, step))
        self.observations += 1
        self.value += step * max(_MIN_GAIN, 1 / self.observations)

    @property
    def factor(self) -> float:
        count = self.observations
        return math.exp(
            self.value * count / (count + _HALF_TRUST_OBSERVATIONS)
        )


class LengthFactors:
    """Factors of the decode step, by powers of two of the output's length."""

    def __init__(self) -> None:
        """Start with a factor of 1 for each length."""
        self._deviations_by_power: dict[int, _Deviation] = {}

    def record(self, output_tokens: int, ratio: float) -> None:
        """Record the time of a step relative to its estimate, above 0."""
        power = output_tokens.bit_length()
        known = self._deviations_by_power.setdefault(power, _Deviation())
        known.update(ratio)

    def factor(self, output_tokens: int) -> float:
        """Return the factor of an output's decode step."""
        known = self._deviations_by_power.get(output_tokens.bit_length())
        return known.factor if known is not None else 1.0
