"""Recorded histories of test runs and checkers of their invariants."""

from burdockdrum.histories.caller import RecordingCaller
from burdockdrum.histories.checkers import check_all
from burdockdrum.histories.checkers import CHECKERS
from burdockdrum.histories.checkers import HOME_CLIENT_PREFIX
from burdockdrum.histories.crashes import CrashHistory
from burdockdrum.histories.crashes import CrashingArrival
from burdockdrum.histories.events import ChangeAccepted
from burdockdrum.histories.events import Drained
from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import EndpointDraining
from burdockdrum.histories.events import FaultSpan
from burdockdrum.histories.events import History
from burdockdrum.histories.events import InForce
from burdockdrum.histories.events import Ran
from burdockdrum.histories.events import RequestEnded
from burdockdrum.histories.events import RequestForwarded
from burdockdrum.histories.events import RequestSent
from burdockdrum.histories.events import Sort
from burdockdrum.histories.limits import Began
from burdockdrum.histories.limits import check_limits
from burdockdrum.histories.limits import LimitInForce
from burdockdrum.histories.rejections import RejectionCrash
from burdockdrum.histories.rejections import RejectionHistory
from burdockdrum.histories.retries import RequestArrived
from burdockdrum.histories.retries import RequestOffered
from burdockdrum.histories.retries import RetryHistory
from burdockdrum.histories.retries import RetryPeak
from burdockdrum.histories.streams import ReceivedEvent
from burdockdrum.histories.streams import StreamHistory
from burdockdrum.histories.streams import StreamTry

__all__ = [
    "ReceivedEvent",
    "StreamHistory",
    "StreamTry",
    "CrashHistory",
    "CrashingArrival",
    "Began",
    "ChangeAccepted",
    "check_all",
    "check_limits",
    "CHECKERS",
    "Drained",
    "Ending",
    "EndpointDraining",
    "FaultSpan",
    "History",
    "HOME_CLIENT_PREFIX",
    "InForce",
    "LimitInForce",
    "Ran",
    "RecordingCaller",
    "RejectionCrash",
    "RejectionHistory",
    "RequestArrived",
    "RequestEnded",
    "RequestForwarded",
    "RequestOffered",
    "RequestSent",
    "RetryHistory",
    "RetryPeak",
    "Sort",
]
