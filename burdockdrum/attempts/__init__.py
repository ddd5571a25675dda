"""The attempts of one request that run at the same time."""

from burdockdrum.attempts.running_attempts import Attempt
from burdockdrum.attempts.running_attempts import RunningAttempts
from burdockdrum.attempts.running_attempts import Superseded

__all__ = ["Attempt", "RunningAttempts", "Superseded"]
