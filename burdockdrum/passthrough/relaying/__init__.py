"""Relay requests: attempts, timeouts, retries and the listeners."""

from burdockdrum.passthrough.relaying.attempt_report import AttemptReporter
from burdockdrum.passthrough.relaying.attempt_timeouts import AttemptTimeouts
from burdockdrum.passthrough.relaying.attempts import AttemptRunner
from burdockdrum.passthrough.relaying.attempts import CONNECT_TIMEOUT_SECONDS
from burdockdrum.passthrough.relaying.connecting import connect_awake
from burdockdrum.passthrough.relaying.crash_detector import CrashDetector
from burdockdrum.passthrough.relaying.crash_guard import CrashGuard
from burdockdrum.passthrough.relaying.endpoint_prober import EndpointProber
from burdockdrum.passthrough.relaying.health_checker import HealthChecker
from burdockdrum.passthrough.relaying.relay import Relay
from burdockdrum.passthrough.relaying.request_runner import RequestRunner
from burdockdrum.passthrough.relaying.retry_charges import RetryCharges
from burdockdrum.passthrough.relaying.server import PassThroughServer
from burdockdrum.passthrough.relaying.stream_resumption import StreamResumption
from burdockdrum.passthrough.relaying.target_finder import TargetFinder

__all__ = [
    "AttemptReporter",
    "AttemptRunner",
    "AttemptTimeouts",
    "connect_awake",
    "CONNECT_TIMEOUT_SECONDS",
    "CrashDetector",
    "CrashGuard",
    "EndpointProber",
    "HealthChecker",
    "PassThroughServer",
    "Relay",
    "RequestRunner",
    "RetryCharges",
    "StreamResumption",
    "TargetFinder",
]
