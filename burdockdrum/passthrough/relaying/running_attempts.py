"""The attempts of a request that is passed through."""

from burdockdrum import attempts
from burdockdrum.attempts import Superseded
from burdockdrum.passthrough.protocol import Outcome
from burdockdrum.passthrough.protocol import Target

__all__ = ["Attempt", "RunningAttempts", "Superseded"]

Attempt = attempts.Attempt[Target, Outcome]
RunningAttempts = attempts.RunningAttempts[Target, Outcome]
