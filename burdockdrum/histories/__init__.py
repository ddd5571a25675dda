"""What happened in a run, and checkers of what must always hold."""

from burdockdrum.histories.caller import RecordingCaller
from burdockdrum.histories.checkers import check_all
from burdockdrum.histories.checkers import CHECKERS
from burdockdrum.histories.checkers import HOME_CLIENT_PREFIX
from burdockdrum.histories.events import Accepted
from burdockdrum.histories.events import Drained
from burdockdrum.histories.events import Ended
from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import FaultSpan
from burdockdrum.histories.events import Forwarded
from burdockdrum.histories.events import History
from burdockdrum.histories.events import InForce
from burdockdrum.histories.events import Left
from burdockdrum.histories.events import Ran
from burdockdrum.histories.events import Sent
from burdockdrum.histories.events import Sort
from burdockdrum.histories.limits import Began
from burdockdrum.histories.limits import check_limits
from burdockdrum.histories.limits import LimitInForce

__all__ = [
    "Accepted",
    "Began",
    "check_all",
    "check_limits",
    "CHECKERS",
    "Drained",
    "Ended",
    "Ending",
    "FaultSpan",
    "Forwarded",
    "History",
    "HOME_CLIENT_PREFIX",
    "InForce",
    "Left",
    "LimitInForce",
    "Ran",
    "RecordingCaller",
    "Sent",
    "Sort",
]
