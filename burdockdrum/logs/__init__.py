"""Structured logging to standard output, rate-limited and non-blocking."""

from burdockdrum.logs.decisions import log_decision
from burdockdrum.logs.decisions import log_failure
from burdockdrum.logs.decisions import log_record
from burdockdrum.logs.decisions import Value
from burdockdrum.logs.explain import explain
from burdockdrum.logs.explain import LogLine
from burdockdrum.logs.explain import read_lines
from burdockdrum.logs.setup import set_up_structured_log
from burdockdrum.logs.setup import StructuredLog
from burdockdrum.logs.states import LoggedState
from burdockdrum.logs.states import OutageLog
from burdockdrum.logs.writer import BoundedWriter

__all__ = [
    "BoundedWriter",
    "explain",
    "log_decision",
    "log_failure",
    "log_record",
    "LoggedState",
    "LogLine",
    "OutageLog",
    "read_lines",
    "set_up_structured_log",
    "StructuredLog",
    "Value",
]
