"""Registers the services of this package with the kernel."""

import random

from burdockdrum.configuration import ConfigurationService
from burdockdrum.configuration import ControlState
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.crashes import CrashLedger
from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.registrations.follower import RegistrationFollower
from burdockdrum.registrations.load_sharing import LoadSharing
from burdockdrum.registrations.publisher import RegistrationPublisher
from burdockdrum.registrations.recent_route_moves import RecentRouteMoves
from burdockdrum.registrations.store import RegistrationStore
from burdockdrum.registrations.table import RegistrationTable
from burdockdrum.settings import Settings
from burdockdrum.software_versions import VersionExchange
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the services of a control VM or of an entry."""
    if kernel.has("log"):
        kernel.add("registration_book", _build_table)
        kernel.add("registration_publisher", _build_publisher)
        kernel.add("registration_store", _build_store)
        kernel.add("version_exchange", _build_version_exchange)
    else:
        kernel.add("registrations", _build_follower)
        kernel.add("load_sharing", _build_load_sharing)


def _build_table(kernel: Kernel) -> RegistrationTable:
    return RegistrationTable(
        clock=kernel.find("clock", Clock), are_versions_shared=True
    )


def _build_store(kernel: Kernel) -> RegistrationStore:
    store = RegistrationStore(
        clock=kernel.find("clock", Clock),
        disk=kernel.find("disk", Disk),
        table=kernel.find("registration_book", RegistrationTable),
        crashes=kernel.find("crash_ledger", CrashLedger),
    )
    kernel.find("metrics", Metrics).gauge(
        "burdockdrum_registrations_bytes",
        "Size of the file of registrations on this control VM.",
        lambda: store.file_bytes,
    )
    return store


def _build_version_exchange(kernel: Kernel) -> VersionExchange:
    log = kernel.find("log", ReplicatedLog)
    store = kernel.find("registration_store", RegistrationStore)
    settings = kernel.find("settings", Settings)
    return VersionExchange(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        versions=kernel.find("registration_book", RegistrationTable).versions,
        restored=store.restored,
        flush=store.flush,
        read_voters=lambda: {
            member.vm_id: member.address
            for member in log.members
            if member.voter
        },
        is_first_start=settings.control.first_start,
    )


def _build_publisher(kernel: Kernel) -> RegistrationPublisher:
    settings = kernel.find("settings", Settings)
    configuration = kernel.find("configuration", ConfigurationService)
    store = kernel.find("control_state", ControlState).store
    clock = kernel.find("clock", Clock)
    moves = RecentRouteMoves(
        clock=clock,
        read_revisions=lambda: store.route_moves.revision_by_service,
    )
    return RegistrationPublisher(
        peers=kernel.find("peers", Peers),
        clock=clock,
        table=kernel.find("registration_book", RegistrationTable),
        regions_by_data_centre=settings.topology.regions_by_data_centre,
        read_revision=lambda: configuration.current.revision,
        read_moved_to=moves.list_services,
        crashes=kernel.find("crash_ledger", CrashLedger),
    )


def _build_follower(kernel: Kernel) -> RegistrationFollower:
    configuration = kernel.find("configuration", ConfigurationService)
    return RegistrationFollower(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        control_addresses=lambda: configuration.control_addresses,
        on_revision=configuration.handle_peer_revision,
        read_revision=lambda: configuration.current.revision,
        crashes=kernel.find("crash_ledger", CrashLedger),
    )


def _build_load_sharing(kernel: Kernel) -> LoadSharing:
    directory = kernel.find("vms", VmDirectory)
    registrations = kernel.find("registrations", RegistrationFollower)
    own = kernel.find("identity", VmIdentity)

    def read_entries() -> list[VmIdentity]:
        return [
            view.identity
            for view in directory.live_vms()
            if view.identity.region == own.region
            and view.identity.http_address
            and view.identity.vm_id != own.vm_id
            and not view.draining
        ]

    sharing = LoadSharing(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        read_entries=read_entries,
        read_draining=lambda: directory.draining,
        read_capacities=lambda: registrations.capacities,
    )
    registrations.read_report = sharing.read_report
    return sharing
