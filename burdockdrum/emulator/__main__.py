"""Run a stand-in for an endpoint.

Usage:
  burdockdrum-emulator engine SERVICE ID ENTRIES TOKEN [options]
  burdockdrum-emulator plain SERVICE ID ENTRIES TOKEN [options]
  burdockdrum-emulator (-h | --help)

SERVICE is what the stand-in serves, ID the endpoint's id, ENTRIES the URLs
of entry VMs of its data centre with commas between, and TOKEN the bearer
token of endpoints.

Options:
  --listen ADDRESS   Where to listen [default: 127.0.0.1:0].
  --slots N          Requests that run at once [default: 8].
  --token-seconds S  Seconds between two tokens [default: 0.005].
  --fault FAULT      none, errors, slow, hang or silent [default: none].
  --poison MARK      Die of a prompt that holds this mark.
  --ignore-fencing   Carry out orders with old fencing numbers.
  --report-lag S     Report the load of so long ago [default: 0].
  -h --help          Show this text.

Example:
  burdockdrum-emulator engine planner engine-1 http://127.0.0.1:8001 secret
"""

import asyncio
import os
import random
import signal
import sys
import time
from typing import Any

from blacksheep import Application
from docopt import docopt

from burdockdrum.emulator.announcer import Announcer
from burdockdrum.emulator.application import build_engine_application
from burdockdrum.emulator.application import build_plain_application
from burdockdrum.emulator.engine import EmulatedEngine
from burdockdrum.emulator.engine import EngineSettings
from burdockdrum.emulator.engine import Fault
from burdockdrum.emulator.orders import OrderBook
from burdockdrum.emulator.plain import PlainService
from burdockdrum.endpoints import Announcement
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from burdockdrum.web import bind
from burdockdrum.web import WebServer

EXIT_CRASHED = 70


async def _run(arguments: dict[str, Any]) -> None:
    host, _, port = arguments["--listen"].rpartition(":")
    listener = bind(host, int(port))
    bound_host, bound_port = listener.getsockname()[:2]
    engine: EmulatedEngine | None = None
    orders: OrderBook | None = None
    application: Application
    if arguments["engine"]:
        engine = _build_engine(arguments)
        orders = OrderBook(
            versions=set(),
            adapters=set(),
            checks_fencing=not arguments["--ignore-fencing"],
        )
        application = build_engine_application(engine, orders)
    else:
        application = build_plain_application(
            PlainService(clock=SystemClock())
        )

    def read_load() -> tuple[int, int]:
        return engine.read_reported_load() if engine else (0, 0)

    announcer = Announcer(
        http=PooledHttpClient(),
        clock=SystemClock(),
        entries=arguments["ENTRIES"].split(","),
        token=arguments["TOKEN"],
        announcement=Announcement(
            endpoint_id=arguments["ID"],
            incarnation=time.time_ns() // 1_000_000,
            url=f"http://{bound_host}:{bound_port}",
            service=arguments["SERVICE"],
            slots=int(arguments["--slots"]),
            checks_fencing=not arguments["--ignore-fencing"],
        ),
        read_load=read_load,
        cache=engine.cache if engine else None,
        orders=orders,
        load_age_seconds=float(arguments["--report-lag"]),
    )
    web = WebServer(application=application, listener=listener)
    await _serve(web, announcer)


def _build_engine(arguments: dict[str, Any]) -> EmulatedEngine:
    poison = arguments["--poison"]
    engine = EmulatedEngine(
        settings=EngineSettings(
            service=arguments["SERVICE"],
            slots=int(arguments["--slots"]),
            token_seconds=float(arguments["--token-seconds"]),
            report_lag=float(arguments["--report-lag"]),
            poison=poison.encode() if poison else None,
        ),
        clock=SystemClock(),
        rng=random.Random(),
        # Exits without cleanup, so that open streams break as in a crash.
        on_crash=lambda: os._exit(EXIT_CRASHED),
    )
    engine.fault = Fault(arguments["--fault"])
    return engine


async def _serve(web: WebServer, announcer: Announcer) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    serving = asyncio.create_task(web.run())
    announcing = asyncio.create_task(announcer.run())
    await stopping.wait()
    announcing.cancel()
    await announcer.leave()
    web.stop()
    await serving


def main() -> int:
    """Run the emulated endpoint until SIGTERM or SIGINT.

    :returns: the exit code
    """
    asyncio.run(_run(docopt(__doc__)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
