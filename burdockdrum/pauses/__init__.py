"""Pauses of this process, which it must not take for silence of others."""

from burdockdrum.pauses.detector import PauseDetector

__all__ = ["PauseDetector"]
