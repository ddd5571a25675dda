"""Track by how much first responses are later than estimated.

Wait estimates only cover the known queue. Engines also decode for running
requests, admit more urgent ones and receive work from entry VMs that have not
reported it yet; the resulting error is learned per rank and prefill share.
"""

_SHARE_BUCKETS = 5
# Least weight of a new error in the moving average, so that it follows about
# the last 20 errors.
_MIN_GAIN = 0.05
# An average starts as that of this many estimates without an error, so that a
# few observations suffice after a start: an entry VM sees only a few long
# prompts in the first seconds of a peak.
_PRIOR_OBSERVATIONS = 2
# Clips the error of a request at an endpoint that hangs.
_MAX_ERROR_SECONDS = 2.0


class EstimateErrors:
    """Mean estimate error of a service, by rank and prefill share."""

    def __init__(self) -> None:
        """Start with an expected error of zero."""
        # A mean for each bucket of the prefill share.
        self._seconds_by_rank: dict[int, list[float]] = {}
        self._counts_by_key: dict[tuple[int, int], int] = {}

    def record(self, rank: int, prefill_share: float, seconds: float) -> None:
        """Record by how much a first response was later than estimated.

        :param prefill_share: share of the engine's time spent on prefill
        :param seconds: negative if the response came earlier
        """
        bucket = _bucket(prefill_share)
        key = (rank, bucket)
        error = max(-_MAX_ERROR_SECONDS, min(_MAX_ERROR_SECONDS, seconds))
        count = self._counts_by_key.get(key, 0) + 1
        self._counts_by_key[key] = count
        gain = max(_MIN_GAIN, 1 / (count + _PRIOR_OBSERVATIONS))
        means = self._seconds_by_rank.setdefault(rank, [0.0] * _SHARE_BUCKETS)
        means[bucket] += (error - means[bucket]) * gain

    def expect(self, rank: int, prefill_share: float) -> float:
        """Return the expected error in seconds, at least 0.

        It never decreases with the prefill share: with few samples a bucket,
        one early response must not attract all further requests.
        """
        means = self._seconds_by_rank.get(rank)
        if means is None:
            return 0.0
        return max(0.0, *means[: _bucket(prefill_share) + 1])


def _bucket(prefill_share: float) -> int:
    return min(
        _SHARE_BUCKETS - 1, int(max(0.0, prefill_share) * _SHARE_BUCKETS)
    )
