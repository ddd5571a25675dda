"""Limits of a process over all its connections: memory and descriptors.

Limits of a single request or connection don't bound their sum. A process has
one ``ProcessLimits``, which every listener uses.
"""

from burdockdrum.overload.connections import ConnectionLimit
from burdockdrum.overload.connections import EvictionRank
from burdockdrum.overload.connections import Group
from burdockdrum.overload.limits import make_limits
from burdockdrum.overload.limits import ProcessLimits
from burdockdrum.overload.memory import HEADER_OVERHEAD_BYTES
from burdockdrum.overload.memory import MemoryBudget
from burdockdrum.overload.memory import Reservation

__all__ = [
    "ConnectionLimit",
    "EvictionRank",
    "Group",
    "HEADER_OVERHEAD_BYTES",
    "make_limits",
    "MemoryBudget",
    "ProcessLimits",
    "Reservation",
]
