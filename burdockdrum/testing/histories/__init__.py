"""What happened in a run, and checkers of what must always hold."""

from burdockdrum.testing.histories.checkers import check_all
from burdockdrum.testing.histories.checkers import CHECKERS
from burdockdrum.testing.histories.checkers import HOME_CLIENT_PREFIX
from burdockdrum.testing.histories.events import Accepted
from burdockdrum.testing.histories.events import Drained
from burdockdrum.testing.histories.events import Ended
from burdockdrum.testing.histories.events import Ending
from burdockdrum.testing.histories.events import FaultSpan
from burdockdrum.testing.histories.events import Forwarded
from burdockdrum.testing.histories.events import History
from burdockdrum.testing.histories.events import InForce
from burdockdrum.testing.histories.events import Left
from burdockdrum.testing.histories.events import Ran
from burdockdrum.testing.histories.events import Sent
from burdockdrum.testing.histories.events import Sort

__all__ = [
    "Accepted",
    "check_all",
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
    "Ran",
    "Sent",
    "Sort",
]
