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
  -h --help          Show this text.

Example:
  burdockdrum-emulator engine planner engine-1 http://127.0.0.1:8001 secret
"""

import asyncio
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
from burdockdrum.emulator.plain import PlainService
from burdockdrum.endpoints import Announcement
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from burdockdrum.web import bind
from burdockdrum.web import WebServer


async def _run(arguments: dict[str, Any]) -> None:
    host, _, port = arguments["--listen"].rpartition(":")
    listener = bind(host, int(port))
    bound_host, bound_port = listener.getsockname()[:2]
    engine: EmulatedEngine | None = None
    application: Application
    if arguments["engine"]:
        engine = EmulatedEngine(
            settings=EngineSettings(
                service=arguments["SERVICE"],
                slots=int(arguments["--slots"]),
                token_seconds=float(arguments["--token-seconds"]),
            ),
            clock=SystemClock(),
        )
        application = build_engine_application(engine)
    else:
        application = build_plain_application(
            PlainService(clock=SystemClock())
        )

    def read_load() -> tuple[int, int]:
        return (engine.running, engine.waiting) if engine else (0, 0)

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
            checks_fencing=True,
        ),
        read_load=read_load,
    )
    web = WebServer(application=application, listener=listener)
    await _serve(web, announcer)


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
    """Run the stand-in until a signal ends it.

    :returns: the exit code
    """
    asyncio.run(_run(docopt(__doc__)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
