"""Emulated endpoints: model engines and plain services.

They implement the HTTP API of real endpoints without a model, and also run in
memory under virtual time, so that tests need no sockets and no waiting.
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
from burdockdrum.emulator.orders import Order
from burdockdrum.emulator.orders import OrderBook
from burdockdrum.emulator.orders import StaleFencingNumber
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
    "Order",
    "OrderBook",
    "PlainService",
    "PrefixCache",
    "StaleFencingNumber",
    "WeightStore",
    "Work",
]
