"""Pauses of a process, which it must not take for silence of others."""

from burdockdrum.pauses.detector import MAX_TICK_SECONDS
from burdockdrum.pauses.detector import PauseDetector

__all__ = ["MAX_TICK_SECONDS", "PauseDetector"]
