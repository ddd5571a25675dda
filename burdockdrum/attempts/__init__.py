"""The attempts of one request that run at the same time."""

from burdockdrum.attempts.overlap import exceeds_overlap
from burdockdrum.attempts.overlap import MAX_OVERLAP_SECONDS
from burdockdrum.attempts.running_attempts import Attempt
from burdockdrum.attempts.running_attempts import RunningAttempts
from burdockdrum.attempts.running_attempts import Superseded

__all__ = [
    "Attempt",
    "MAX_OVERLAP_SECONDS",
    "RunningAttempts",
    "Superseded",
    "exceeds_overlap",
]
