"""Registers the services of this package in the kernel."""

import functools
import random

from burdockdrum.configuration.control import propose_lease_command
from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.reports import Directory
from burdockdrum.configuration.service import ConfigurationService
from burdockdrum.consensus import LogSettings
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.kernel import Kernel
from burdockdrum.leases import LeaseManager
from burdockdrum.metrics import Metrics
from burdockdrum.pauses import PauseDetector
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline


def add_services(kernel: Kernel) -> None:
    """Register the configuration and, on a control VM, its log."""
    if kernel.has("disk"):
        kernel.add("control_state", lambda kernel: ControlState())
        kernel.add("log", _build_log)
        kernel.add("lease_keeper", _build_lease_manager)
    kernel.add("configuration", _build_configuration)


def _build_log(kernel: Kernel) -> ReplicatedLog:
    settings = kernel.find("settings", Settings)
    return ReplicatedLog(
        peers=kernel.find("peers", Peers),
        disk=kernel.find("disk", Disk),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        timeline=kernel.find("timeline", Timeline),
        metrics=kernel.find("metrics", Metrics),
        state_machine=kernel.find("control_state", ControlState),
        settings=_log_settings(kernel, settings),
    )


def _build_lease_manager(kernel: Kernel) -> LeaseManager:
    log = kernel.find("log", ReplicatedLog)
    return LeaseManager(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        table=kernel.find("control_state", ControlState).leases,
        leadership=log,
        propose=functools.partial(propose_lease_command, log),
    )


def _log_settings(kernel: Kernel, settings: Settings) -> LogSettings:
    members = settings.control.members
    is_founder = settings.vm.id in members

    def read_control_addresses() -> list[str]:
        service = kernel.find("configuration", ConfigurationService)
        learned = service.control_addresses.values()
        return [*members.values(), *settings.cluster.join, *learned]

    return LogSettings(
        vm_id=settings.vm.id,
        bootstrap_addresses_by_id=members if is_founder else {},
        target_voter_count=settings.control.voters,
        election_timeout_seconds=settings.control.election_seconds,
        heartbeat_seconds=settings.control.election_seconds / 5,
        call_timeout_seconds=settings.control.election_seconds / 2,
        read_control_addresses=read_control_addresses,
    )


def _build_configuration(kernel: Kernel) -> ConfigurationService:
    settings = kernel.find("settings", Settings)
    is_control = kernel.has("log")
    state = kernel.find("control_state", ControlState) if is_control else None
    log = kernel.find("log", ReplicatedLog) if is_control else None
    lease_seconds = settings.configuration.residency_lease_seconds
    return ConfigurationService(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        # Looked up lazily: the directory reports this VM's revision and is
        # built after this service.
        directory=lambda: kernel.find("vms", Directory),
        control_addresses=settings.control.members,
        residency_lease_seconds=lease_seconds,
        state=state,
        log=log,
        pauses=kernel.find("pauses", PauseDetector)
        if kernel.has("pauses")
        else None,
    )
