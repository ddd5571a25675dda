"""Fair shares of engine time among teams, where engines are short."""

from burdockdrum.fairness.division import TeamShare
from burdockdrum.fairness.fair_shares import FairShares
from burdockdrum.fairness.fair_shares import MICROSECONDS
from burdockdrum.fairness.shares import max_min_shares
from burdockdrum.fairness.weights import weight_of

__all__ = [
    "FairShares",
    "max_min_shares",
    "MICROSECONDS",
    "TeamShare",
    "weight_of",
]
