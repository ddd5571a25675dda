"""The registry of endpoints: check-ins, their distribution, and loads.

An endpoint checks in at any control VM, and each control VM publishes its own
check-ins to every entry. Control VMs don't replicate them to each other: the
next check-in renews the state anyway, so no consensus is needed.
"""

from burdockdrum.registrations.follower import RegistrationFollower
from burdockdrum.registrations.incarnations import make_incarnation_id
from burdockdrum.registrations.incarnations import UNKNOWN_INCARNATION
from burdockdrum.registrations.likely_entries import LikelyEntries
from burdockdrum.registrations.limit_shares import LimitShares
from burdockdrum.registrations.load_sharing import LoadSharing
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.loads import RankLoad
from burdockdrum.registrations.loads import RankSum
from burdockdrum.registrations.messages import PlacedPrefix
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.messages import ServiceCapacity
from burdockdrum.registrations.messages import SpeedSum
from burdockdrum.registrations.model import RegisteredEndpoint
from burdockdrum.registrations.publisher import RegistrationPublisher
from burdockdrum.registrations.rate_limits import AnnouncedLimit
from burdockdrum.registrations.rate_limits import Bounds
from burdockdrum.registrations.rate_limits import bounds_of
from burdockdrum.registrations.rate_limits import newest_limit
from burdockdrum.registrations.rate_limits import rate_of
from burdockdrum.registrations.recent_route_moves import RecentRouteMoves
from burdockdrum.registrations.services import add_services
from burdockdrum.registrations.speed_news import SpeedNews
from burdockdrum.registrations.table import RegistrationTable
from burdockdrum.registrations.team_work import NO_WORK
from burdockdrum.registrations.team_work import sum_work
from burdockdrum.registrations.team_work import TeamWork
from burdockdrum.registrations.team_work import Work
from burdockdrum.registrations.team_work import WorkByKey
from burdockdrum.registrations.team_work import WorkKey

__all__ = [
    "add_services",
    "AnnouncedLimit",
    "Bounds",
    "bounds_of",
    "LikelyEntries",
    "LimitShares",
    "Load",
    "LoadSharing",
    "make_incarnation_id",
    "newest_limit",
    "NO_WORK",
    "PlacedPrefix",
    "RankLoad",
    "RankSum",
    "rate_of",
    "RecentRouteMoves",
    "RegisteredEndpoint",
    "Registration",
    "RegistrationFollower",
    "RegistrationPublisher",
    "RegistrationState",
    "RegistrationTable",
    "ServiceCapacity",
    "SpeedNews",
    "SpeedSum",
    "sum_work",
    "TeamWork",
    "UNKNOWN_INCARNATION",
    "Work",
    "WorkByKey",
    "WorkKey",
]
