"""A timeline of events that is ordered across processes."""

from burdockdrum.timeline.hybrid_clock import HybridClock
from burdockdrum.timeline.hybrid_clock import Stamp
from burdockdrum.timeline.suspension import SuspensionDetector
from burdockdrum.timeline.timeline import Event
from burdockdrum.timeline.timeline import merge
from burdockdrum.timeline.timeline import Timeline

__all__ = [
    "Event",
    "HybridClock",
    "merge",
    "Stamp",
    "SuspensionDetector",
    "Timeline",
]
