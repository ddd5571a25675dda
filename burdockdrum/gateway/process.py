"""The life cycle and the signal handlers of a pass-through VM's process."""

import asyncio
from collections.abc import Callable
import pathlib
import random
import signal

from loguru import logger

from burdockdrum.gateway.assembly import assemble
from burdockdrum.kernel import Kernel
from burdockdrum.logs import log_decision
from burdockdrum.logs import set_up_structured_log
from burdockdrum.logs import StructuredLog
from burdockdrum.metrics import Metrics
from burdockdrum.peers import StartNumber
from burdockdrum.peers import VmIdentity
from burdockdrum.settings import Settings
from burdockdrum.system_ports import FolderDisk
from burdockdrum.system_ports import limit_threads
from burdockdrum.system_ports import PynngNetwork
from burdockdrum.system_ports import return_large_buffers
from burdockdrum.system_ports import SystemClock
from burdockdrum.timeline import Timeline
from burdockdrum.vms import Drain

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Gateway:
    """Run the services of a VM until it is drained or stopped."""

    def __init__(
        self,
        *,
        settings: Settings,
        name: str,
        extend: Callable[[Kernel], None],
        reload: Callable[[], Settings],
    ) -> None:
        """Create a VM without starting it.

        :param name: the VM's name in the log
        :param extend: registers the services of a deployment's own APIs
        :param reload: reads the settings again
        """
        self._settings = settings
        self._name = name
        self._extend = extend
        self._reload = reload

    async def run(self) -> None:
        """Serve until a signal or a drain, then finish active requests."""
        log = set_up_structured_log(self._settings.log, self._name)
        log_task = asyncio.create_task(log.run())
        limit_threads()
        return_large_buffers()
        try:
            await self._serve(log)
        except BaseExceptionGroup as group:
            logger.opt(exception=group).error("process.failed")
            raise
        finally:
            log_decision("process.stopped")
            log_task.cancel()
            await asyncio.gather(log_task, return_exceptions=True)

    async def _serve(self, log: StructuredLog) -> None:
        kernel = await self._assemble()
        log.read_stamp = kernel.find("timeline", Timeline).clock.tick
        kernel.find("metrics", Metrics).gauge(
            "burdockdrum_dropped_log_lines",
            "Log lines of this process that could not be written.",
            lambda: log.dropped,
        )
        drain = kernel.find("drain", Drain)
        loop = asyncio.get_running_loop()
        for signal_number in _STOP_SIGNALS:
            loop.add_signal_handler(
                signal_number, self._begin_drain, drain, signal_number
            )
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        kernel_task = asyncio.create_task(kernel.run())
        drain_task = asyncio.create_task(drain.done.wait())
        await asyncio.wait(
            {kernel_task, drain_task}, return_when=asyncio.FIRST_COMPLETED
        )
        drain_task.cancel()
        kernel_task.cancel()
        try:
            await kernel_task
        except asyncio.CancelledError:
            log_decision("process.services_ended")

    async def _assemble(self) -> Kernel:
        settings = self._settings
        clock = SystemClock()
        folder = settings.control.data_folder
        disk = FolderDisk(folder=pathlib.Path(folder)) if folder else None
        start = await StartNumber.draw(clock=clock, disk=disk)
        mailbox = await PynngNetwork().open(settings.listen.control)
        callers = settings.passthrough.callers
        identity = VmIdentity(
            vm_id=settings.vm.id,
            incarnation=start.number,
            region=settings.vm.region,
            data_centre=settings.vm.data_centre,
            control_address=mailbox.address,
            http_address=f"http://{callers}" if callers else "",
        )
        kernel = assemble(
            settings=settings,
            identity=identity,
            mailbox=mailbox,
            clock=clock,
            rng=random.Random(),
            disk=disk,
        )
        kernel.provide("start_number", start)
        self._extend(kernel)
        log_decision(
            "process.started",
            vm_id=identity.vm_id,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            region=identity.region,
            control_address=identity.control_address,
            http_address=identity.http_address,
        )
        return kernel

    def _begin_drain(self, drain: Drain, signal_number: int) -> None:
        log_decision(
            "process.stopping", signal=signal.Signals(signal_number).name
        )
        drain.begin()

    def _reload_settings(self) -> None:
        """Read the settings again and log which changes need a restart.

        Settings only hold a VM's identity and its seeds and never change at
        run time; what does change at run time is the configuration.
        """
        try:
            settings = self._reload()
        except Exception as error:
            logger.bind(reason=str(error)).warning("settings.refused")
            return
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        log_decision("settings.read", needs_restart=", ".join(changed))
