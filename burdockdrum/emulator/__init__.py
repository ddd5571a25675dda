"""Stand-ins for what the gateway serves: engines and plain services.

They speak the same HTTP as the real ones, over a core that also runs in
memory under virtual time.
"""

from burdockdrum.emulator.announcer import Announcer
from burdockdrum.emulator.application import build_engine_application
from burdockdrum.emulator.application import build_plain_application
from burdockdrum.emulator.application import cut_when_crashed
from burdockdrum.emulator.completions import make_answer
from burdockdrum.emulator.completions import make_token
from burdockdrum.emulator.completions import Work
from burdockdrum.emulator.engine import EmulatedEngine
from burdockdrum.emulator.engine import EngineCrashed
from burdockdrum.emulator.engine import EngineFailed
from burdockdrum.emulator.engine import EngineSettings
from burdockdrum.emulator.engine import Fault
from burdockdrum.emulator.orders import OldFencingNumber
from burdockdrum.emulator.orders import Order
from burdockdrum.emulator.orders import OrderBook
from burdockdrum.emulator.orders import WeightStore
from burdockdrum.emulator.plain import PlainService
from burdockdrum.emulator.prefix_cache import PrefixCache

__all__ = [
    "Announcer",
    "build_engine_application",
    "build_plain_application",
    "cut_when_crashed",
    "EmulatedEngine",
    "EngineCrashed",
    "EngineFailed",
    "EngineSettings",
    "Fault",
    "make_answer",
    "make_token",
    "OldFencingNumber",
    "Order",
    "OrderBook",
    "PlainService",
    "PrefixCache",
    "WeightStore",
    "Work",
]
