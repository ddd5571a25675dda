"""Registers the services of this package with the kernel."""

from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegistrationFollower
from burdockdrum.settings import Settings
from burdockdrum.streams.origins import StreamOrigins
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the origins of streams on an entry."""
    if not kernel.has("log"):
        kernel.add("stream_origins", _build_origins)


def _build_origins(kernel: Kernel) -> StreamOrigins:
    directory = kernel.find("vms", VmDirectory)
    registrations = kernel.find("registrations", RegistrationFollower)
    settings = kernel.find("settings", Settings)

    def read_entries() -> list[VmIdentity]:
        return [
            view.identity
            for view in directory.live_vms()
            if view.identity.http_address and not view.draining
        ]

    return StreamOrigins(
        clock=kernel.find("clock", Clock),
        peers=kernel.find("peers", Peers),
        metrics=kernel.find("metrics", Metrics),
        read_entries=read_entries,
        read_versions=registrations.versions.versions_of,
        knows_all_versions=registrations.hears_majority,
        confirm_versions=registrations.confirm_versions,
        read_moved_to=lambda: registrations.moved_to,
        data_centres=settings.topology.regions_by_data_centre,
    )
