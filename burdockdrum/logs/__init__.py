"""Structured logs on standard output, bounded and never blocking."""

from burdockdrum.logs.decisions import log_decision
from burdockdrum.logs.decisions import log_failure
from burdockdrum.logs.setup import set_up_structured_log
from burdockdrum.logs.writer import BoundedWriter

__all__ = [
    "BoundedWriter",
    "log_decision",
    "log_failure",
    "set_up_structured_log",
]
