"""Validate settings against each other."""

from collections.abc import Iterator
import ipaddress
import re
from urllib.parse import urlsplit

from burdockdrum.settings.model import PolicySettings
from burdockdrum.settings.model import Settings
from burdockdrum.settings.problems import SettingsProblem
from burdockdrum.settings.values import check_values

_TOKEN_HASH = re.compile(r"[0-9a-f]{64}")
_QUORUM_SIZES = (1, 3, 5)
_MIN_SECRET_LENGTH = 16


def check_settings(settings: Settings) -> list[SettingsProblem]:
    """Return all problems found."""
    return [
        *check_values(settings),
        *_check_addresses(settings),
        *_check_cluster(settings),
        *_check_control(settings),
        *_check_configuration(settings),
        *_check_hashes(settings),
        *_check_limits(settings),
        *check_policy(settings.policy),
        *_check_attempts(settings),
        *_check_claims(settings),
    ]


def _check_addresses(settings: Settings) -> Iterator[SettingsProblem]:
    yield from _check_address("listen.control", settings.listen.control, "tcp")
    scheme = "https" if settings.listen.tls else "http"
    yield from _check_address("listen.http", settings.listen.http, scheme)
    yield from _check_listeners(settings)
    for index, address in enumerate(settings.cluster.join):
        yield from _check_address(f"cluster.join[{index}]", address, "tcp")
    for vm_id, address in settings.control.members.items():
        yield from _check_address(f"control.members.{vm_id}", address, "tcp")


def _check_listeners(settings: Settings) -> Iterator[SettingsProblem]:
    netlocs = [
        urlsplit(address).netloc
        for address in (settings.listen.control, settings.listen.http)
    ]
    if netlocs[0] == netlocs[1] and not netlocs[0].endswith(":0"):
        yield SettingsProblem(
            key="listen.http",
            problem=f"is {netlocs[0]}, the same as listen.control",
            fix="use a different port for each listener",
        )


def _check_address(
    key: str, address: str, scheme: str
) -> Iterator[SettingsProblem]:
    parts = urlsplit(address)
    try:
        ipaddress.ip_address(parts.hostname or "")
        is_valid = parts.scheme == scheme and parts.port is not None
    except ValueError:
        is_valid = False
    if not is_valid:
        yield SettingsProblem(
            key=key,
            problem=f"is {address!r}",
            fix=f"write {scheme}://IP:PORT with an IP number, not a name",
        )


def _check_cluster(settings: Settings) -> Iterator[SettingsProblem]:
    cluster = settings.cluster
    if (cluster.secret is None) == (cluster.secret_file is None):
        yield SettingsProblem(
            key="cluster",
            problem="needs exactly one of secret and secret_file",
            fix="set secret_file to a file that all VMs share",
        )
    if cluster.secret is not None and len(cluster.secret) < _MIN_SECRET_LENGTH:
        yield SettingsProblem(
            key="cluster.secret",
            problem=f"has fewer than {_MIN_SECRET_LENGTH} characters",
            fix="create one with 'burdockdrum make-token'",
        )


def _check_control(settings: Settings) -> Iterator[SettingsProblem]:
    control = settings.control
    if len(control.members) not in _QUORUM_SIZES:
        yield SettingsProblem(
            key="control.members",
            problem=f"names {len(control.members)} VMs",
            fix="name 1, 3 or 5 VMs that have disks",
        )
    is_member = settings.vm.id in control.members
    if is_member and control.data_folder is None:
        yield SettingsProblem(
            key="control.data_folder",
            problem="is missing on a VM that control.members names",
            fix="set it to a folder on this VM's disk",
        )
    address = control.members.get(settings.vm.id)
    if address is not None and address != settings.listen.control:
        yield SettingsProblem(
            key="listen.control",
            problem=f"is not the address in control.members: {address}",
            fix="set both to the same address",
        )


def _check_configuration(settings: Settings) -> Iterator[SettingsProblem]:
    if settings.configuration.residency_lease_seconds <= 0:
        yield SettingsProblem(
            key="configuration.residency_lease_seconds",
            problem="is not above 0",
            fix="set it to the seconds for which a partitioned VM may use "
            "the configuration that it last received",
        )


def _check_hashes(settings: Settings) -> Iterator[SettingsProblem]:
    sections = {
        "operators.token_hashes": settings.operators.token_hashes,
        "endpoints.token_hashes": settings.endpoints.token_hashes,
    }
    for key, hashes in sections.items():
        for index, value in enumerate(hashes):
            if not _TOKEN_HASH.fullmatch(value):
                yield SettingsProblem(
                    key=f"{key}[{index}]",
                    problem="is not a SHA-256 in hexadecimal",
                    fix="create one with 'burdockdrum hash-token'",
                )


def _check_limits(settings: Settings) -> Iterator[SettingsProblem]:
    limits = settings.limits
    if limits.body_bytes < 1:
        yield SettingsProblem(
            key="limits.body_bytes", problem="is below 1", fix="raise it"
        )
    if not 0 < limits.default_deadline_seconds <= limits.max_deadline_seconds:
        yield SettingsProblem(
            key="limits.default_deadline_seconds",
            problem="is not above 0 and at most limits.max_deadline_seconds",
            fix="lower it, or raise limits.max_deadline_seconds",
        )
    if settings.orders.loads_a_minute <= 0:
        yield SettingsProblem(
            key="orders.loads_a_minute",
            problem="is not above 0",
            fix="raise it",
        )
    if settings.drain.limit_seconds <= 0:
        yield SettingsProblem(
            key="drain.limit_seconds", problem="is not above 0", fix="raise it"
        )


def check_policy(policy: PolicySettings) -> Iterator[SettingsProblem]:
    """Find values of the policy that are out of range."""
    if policy.choices < 1:
        yield SettingsProblem(
            key="policy.choices", problem="is below 1", fix="set 2 or more"
        )
    if not 0 <= policy.spill_reserve < 1:
        yield SettingsProblem(
            key="policy.spill_reserve",
            problem="is not a fraction from 0 to below 1",
            fix="set 0.1 to reserve a tenth of the slots for local callers",
        )
    for key in (
        "max_wait_seconds",
        "slow_start_seconds",
        "wide_area_seconds",
        "spill_margin_seconds",
        "crossing_seconds_a_megabyte",
    ):
        if getattr(policy, key) < 0:
            yield SettingsProblem(
                key=f"policy.{key}", problem="is below 0", fix="raise it"
            )


def _check_attempts(settings: Settings) -> Iterator[SettingsProblem]:
    for key in ("first_token_seconds", "between_tokens_seconds"):
        if getattr(settings.attempts, key) <= 0:
            yield SettingsProblem(
                key=f"attempts.{key}", problem="is not above 0", fix="raise it"
            )


def _check_claims(settings: Settings) -> Iterator[SettingsProblem]:
    keepers = settings.claims.keepers
    for vm_id, address in keepers.items():
        yield from _check_address(f"claims.keepers.{vm_id}", address, "tcp")
    if keepers and len(keepers) % 2 == 0:
        yield SettingsProblem(
            key="claims.keepers",
            problem=f"names {len(keepers)} VMs",
            fix="name an odd number of VMs, as an even one tolerates no more "
            "failures than one VM fewer",
        )
    own = keepers.get(settings.vm.id)
    if own is not None and own != settings.listen.control:
        yield SettingsProblem(
            key="listen.control",
            problem=f"is not the address in claims.keepers: {own}",
            fix="set both to the same address",
        )
