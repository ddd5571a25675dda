"""Complete VMs in one process, on top of the fakes.

A ``FakeCluster`` starts the services of the daemon with faked ports, so that
tests can partition, crash and restart VMs under virtual time.
"""

import asyncio
import random

from blacksheep import Application

from burdockdrum.daemon import assemble
from burdockdrum.kernel import Kernel
from burdockdrum.peers import VmIdentity
from burdockdrum.settings import Settings
from burdockdrum.testing.asgi import AsgiServer
from burdockdrum.testing.asgi import serve_asgi
from burdockdrum.testing.disk import FakeDisk
from burdockdrum.testing.http import FakeHttpClient
from burdockdrum.testing.http import FakeWeb
from burdockdrum.testing.network import FakeNetwork
from burdockdrum.testing.virtual_time import VirtualClock


class FakeVm:
    """A running VM of a cluster."""

    def __init__(self, *, identity: VmIdentity, kernel: Kernel) -> None:
        """Create a VM from an assembled kernel."""
        self.identity = identity
        self.kernel = kernel
        self.server: AsgiServer | None = None
        self.task: asyncio.Task[None] | None = None


class FakeCluster:
    """VMs that share one network and one set of HTTP servers."""

    def __init__(self, *, seed: int) -> None:
        """Create a cluster without VMs."""
        self.rng = random.Random(seed)
        self.network = FakeNetwork(rng=random.Random(seed + 1))
        self.web = FakeWeb(network=self.network)
        self.vms_by_id: dict[str, FakeVm] = {}
        self.disks_by_vm_id: dict[str, FakeDisk] = {}
        # Seconds of a VM's clock per second of the event loop; 1 by default.
        self.clock_rates_by_vm_id: dict[str, float] = {}
        self._incarnation = 0

    async def start_vm(self, settings: Settings) -> FakeVm:
        """Start a VM, or restart it after a crash."""
        vm_id = settings.vm.id
        self._incarnation += 1
        mailbox = await self.network.host(vm_id).open(settings.listen.control)
        identity = VmIdentity(
            vm_id=vm_id,
            incarnation=self._incarnation,
            region=settings.vm.region,
            data_centre=settings.vm.data_centre,
            control_address=mailbox.address,
            http_address=settings.listen.http,
        )
        kernel = assemble(
            settings=settings,
            identity=identity,
            mailbox=mailbox,
            clock=VirtualClock(rate=self.clock_rates_by_vm_id.get(vm_id, 1.0)),
            http=FakeHttpClient(web=self.web, host=vm_id),
            rng=random.Random(self.rng.random()),
            disk=self._find_disk(settings),
        )
        vm = FakeVm(identity=identity, kernel=kernel)
        application = kernel.find("application", Application)
        await application.start()
        vm.server = serve_asgi(application)
        self.web.serve(settings.listen.http, vm_id, vm.server)
        vm.task = asyncio.create_task(kernel.run())
        self.vms_by_id[vm_id] = vm
        return vm

    async def crash_vm(self, vm_id: str) -> None:
        """Crash a VM: its memory is lost, its disk is kept."""
        vm = self.vms_by_id.pop(vm_id)
        self.web.stop(vm.identity.http_address)
        assert vm.task is not None
        if vm.server is not None:
            vm.server.abort()
        vm.task.cancel()
        await asyncio.gather(vm.task, return_exceptions=True)

    def _find_disk(self, settings: Settings) -> FakeDisk | None:
        if settings.control.data_folder is None:
            return None
        vm_id = settings.vm.id
        if vm_id not in self.disks_by_vm_id:
            rng = random.Random(self.rng.random())
            self.disks_by_vm_id[vm_id] = FakeDisk(rng=rng)
        return self.disks_by_vm_id[vm_id]

    async def stop(self) -> None:
        """Crash every VM."""
        for vm_id in list(self.vms_by_id):
            await self.crash_vm(vm_id)

    def client(self, host: str) -> FakeHttpClient:
        """Return the HTTP client of a caller or an endpoint."""
        return FakeHttpClient(web=self.web, host=host)
