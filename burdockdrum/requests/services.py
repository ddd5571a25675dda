"""Name the services of this package."""

from burdockdrum.admission import Admission
from burdockdrum.configuration import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.peers import Seal
from burdockdrum.ports import Clock
from burdockdrum.ports import HttpClient
from burdockdrum.requests.service import RequestService
from burdockdrum.routing import Router
from burdockdrum.timeline import Timeline
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Name the service that gives answers."""
    kernel.add("requests", _build_requests)


def _build_requests(kernel: Kernel) -> RequestService:
    return RequestService(
        clock=kernel.find("clock", Clock),
        http=kernel.find("http", HttpClient),
        seal=kernel.find("seal", Seal),
        timeline=kernel.find("timeline", Timeline),
        configuration=kernel.find("configuration", ConfigurationService),
        vms=kernel.find("vms", VmDirectory),
        admission=kernel.find("admission", Admission),
        router=kernel.find("router", Router),
    )
