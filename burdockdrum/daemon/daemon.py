"""The life cycle of one VM's process."""

import asyncio
import pathlib
import random
import signal
import socket
from urllib.parse import urlsplit

from blacksheep import Application
from loguru import logger

from burdockdrum.daemon.assembly import assemble
from burdockdrum.kernel import Kernel
from burdockdrum.overload import ProcessLimits
from burdockdrum.peers import StartNumber
from burdockdrum.peers import VmIdentity
from burdockdrum.settings import Settings
from burdockdrum.system_ports import FolderDisk
from burdockdrum.system_ports import limit_threads
from burdockdrum.system_ports import make_ssl_context
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import PynngNetwork
from burdockdrum.system_ports import return_large_buffers
from burdockdrum.system_ports import SystemClock
from burdockdrum.vms import Drain
from burdockdrum.web import bind
from burdockdrum.web import WebServer

CONNECTION_CLOSE_TIMEOUT_SECONDS = 2.0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon:
    """Run the services of a VM until it is drained or stopped."""

    def __init__(self, *, settings: Settings) -> None:
        """Create a daemon without starting it."""
        self._settings = settings
        self._signal_count = 0

    async def run(self) -> None:
        """Serve until a signal or a drain, then finish active requests."""
        limit_threads()
        return_large_buffers()
        kernel = await self._assemble()
        drain = kernel.find("drain", Drain)
        loop = asyncio.get_running_loop()
        kernel_task = asyncio.create_task(kernel.run())
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(
                number, self._handle_signal, drain, kernel_task
            )
        drain_task = asyncio.create_task(drain.done.wait())
        await asyncio.wait(
            {kernel_task, drain_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if drain_task.done():
            await _stop_web(kernel.find("web", WebServer))
        drain_task.cancel()
        kernel_task.cancel()
        try:
            await kernel_task
        except asyncio.CancelledError:
            pass

    async def _assemble(self) -> Kernel:
        settings = self._settings
        clock = SystemClock()
        disk = _open_disk(settings)
        start = await StartNumber.draw(clock=clock, disk=disk)
        mailbox = await PynngNetwork().open(settings.listen.control)
        parts = urlsplit(settings.listen.http)
        listener = bind(parts.hostname or "", parts.port or 0)
        host, port = listener.getsockname()[:2]
        identity = VmIdentity(
            vm_id=settings.vm.id,
            incarnation=start.number,
            region=settings.vm.region,
            data_centre=settings.vm.data_centre,
            control_address=mailbox.address,
            http_address=f"{parts.scheme}://{host}:{port}",
        )
        tls = settings.listen.tls
        trust_file = tls.trust_file if tls is not None else None
        logger.info(
            "{} listens for callers on {} and for peers on {}",
            identity.vm_id,
            identity.http_address,
            identity.control_address,
        )
        kernel = assemble(
            settings=settings,
            identity=identity,
            mailbox=mailbox,
            clock=clock,
            http=PooledHttpClient(ssl_context=make_ssl_context(trust_file)),
            rng=random.Random(),
            disk=disk,
        )
        kernel.provide("start_number", start)
        kernel.add("web", lambda kernel: _build_web(kernel, listener))
        return kernel

    def _handle_signal(self, drain: Drain, kernel_task: asyncio.Task) -> None:
        self._signal_count += 1
        drain.begin()
        if self._signal_count > 1:
            logger.warning("second signal: aborting the drain")
            kernel_task.cancel()


async def _stop_web(web: WebServer) -> None:
    web.stop()
    try:
        # After a drain, only connections of watchers and status pages remain.
        async with asyncio.timeout(CONNECTION_CLOSE_TIMEOUT_SECONDS):
            await web.stopped.wait()
    except TimeoutError:
        logger.info("timed out: closing the remaining connections")


def _open_disk(settings: Settings) -> FolderDisk | None:
    folder = settings.control.data_folder
    return FolderDisk(folder=pathlib.Path(folder)) if folder else None


def _build_web(kernel: Kernel, listener: socket.socket) -> WebServer:
    tls = kernel.find("settings", Settings).listen.tls
    return WebServer(
        application=kernel.find("application", Application),
        listener=listener,
        certificate_file=tls.certificate_file if tls else None,
        key_file=tls.key_file if tls else None,
        process_limits=kernel.find("process_limits", ProcessLimits),
    )
