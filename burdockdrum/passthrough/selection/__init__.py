"""Decide where the next attempt of a request goes, or refuse it.

Knows neither sockets nor headers.
"""

from burdockdrum.passthrough.selection.fleet import Fleet
from burdockdrum.passthrough.selection.region_rating import HOP_DELAY_SECONDS
from burdockdrum.passthrough.selection.targets import MAX_RETRY_AFTER_SECONDS
from burdockdrum.passthrough.selection.targets import MAX_RETURN_SPREAD_SECONDS
from burdockdrum.passthrough.selection.targets import MIN_QUEUE_SECONDS
from burdockdrum.passthrough.selection.targets import MIN_RETRY_AFTER_SECONDS
from burdockdrum.passthrough.selection.targets import QueueTooLong
from burdockdrum.passthrough.selection.targets import TargetSelector
from burdockdrum.passthrough.selection.team_shares import TeamShares

__all__ = [
    "MIN_RETRY_AFTER_SECONDS",
    "MAX_RETRY_AFTER_SECONDS",
    "MAX_RETURN_SPREAD_SECONDS",
    "MIN_QUEUE_SECONDS",
    "MIN_RETRY_AFTER_SECONDS",
    "Fleet",
    "HOP_DELAY_SECONDS",
    "QueueTooLong",
    "TargetSelector",
    "TeamShares",
]
