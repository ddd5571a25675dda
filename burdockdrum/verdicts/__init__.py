"""Verdicts on whether a request may have run, and error responses."""

from burdockdrum.verdicts.refusal import Refusal
from burdockdrum.verdicts.refusal import RefusalCode
from burdockdrum.verdicts.verdict import Verdict
from burdockdrum.verdicts.verdict import worst

__all__ = ["Refusal", "RefusalCode", "Verdict", "worst"]
