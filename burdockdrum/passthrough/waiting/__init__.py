"""Requests that wait at this entry for capacity, and when to come back."""

from burdockdrum.passthrough.waiting.dispatcher import HeldRequest
from burdockdrum.passthrough.waiting.dispatcher import LineDispatcher
from burdockdrum.passthrough.waiting.holder import RequestHolder
from burdockdrum.passthrough.waiting.line import WaitingLine
from burdockdrum.passthrough.waiting.line import WaitingRequest

__all__ = [
    "HeldRequest",
    "LineDispatcher",
    "RequestHolder",
    "WaitingLine",
    "WaitingRequest",
]
