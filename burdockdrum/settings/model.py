"""The settings of a daemon, with their defaults.

docs/reference/settings.md describes each; a test checks that it is complete.
"""

from typing import Literal

import msgspec


class _Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The base class of a table; unknown keys are rejected."""


class VmSettings(_Section, frozen=True, kw_only=True):
    """The identity and location of this VM."""

    id: str
    region: str
    data_centre: str


class TlsSettings(_Section, frozen=True, kw_only=True):
    """Certificate and key of the HTTP listener, as PEM files."""

    certificate_file: str
    key_file: str
    trust_file: str | None = None


class ListenSettings(_Section, frozen=True, kw_only=True):
    """The addresses this VM listens on; port 0 selects a free one."""

    control: str = "tcp://127.0.0.1:0"
    http: str = "http://127.0.0.1:0"
    tls: TlsSettings | None = None


class ClusterSettings(_Section, frozen=True, kw_only=True):
    """How this VM joins and authenticates with the others."""

    secret: str | None = None
    secret_file: str | None = None
    join: list[str] = []


class ControlSettings(_Section, frozen=True, kw_only=True):
    """The control VMs, which replicate the configuration by consensus.

    ``members`` are the initial control VMs by id, with their control
    addresses; ``data_folder`` is set on those VMs only. ``voters`` is the
    number of voters that the control VMs maintain automatically: a member
    with an empty disk is added again, a lost one replaced. 0 leaves this to
    operators. ``election_seconds`` is the election timeout; it has to cover
    several round trips and disk syncs. ``first_start`` is set only while the
    whole system starts for the first time, with empty data folders.
    """

    members: dict[str, str] = {}
    first_start: bool = False
    voters: int = 0
    election_seconds: float = 1.2
    data_folder: str | None = None


class TopologySettings(_Section, frozen=True, kw_only=True):
    """The data centres, each with its region.

    Control VMs accept check-ins of endpoints only from these.
    """

    regions_by_data_centre: dict[str, str] = {}


class PassThroughSettings(_Section, frozen=True, kw_only=True):
    """The listeners of the reverse proxy, and its retry budget.

    ``callers`` and ``vms`` are ``IP:PORT``; the port of ``vms`` is the same
    on all entry VMs. Within ``retry_window_seconds`` all entry VMs together
    may retry the fraction ``retry_ratio`` of a service's requests, and
    ``retry_burst`` more.
    """

    callers: str = ""
    vms: str = ""
    retry_ratio: float = 0.2
    retry_burst: float = 50.0
    retry_window_seconds: float = 10.0


class CallerSettings(_Section, frozen=True, kw_only=True):
    """How old the configuration may be for authentication and routing.

    A VM whose configuration was last known to be current more than
    ``certain_seconds`` ago sends a retryable refusal instead of a final one
    for an unknown token or route. With ``strict_seconds`` it rejects every
    token while its configuration is older, as tokens may have been revoked.
    """

    certain_seconds: float = 4.0
    strict_seconds: float | None = None


class ConfigurationSettings(_Section, frozen=True, kw_only=True):
    """How a VM acts on a configuration that may be outdated.

    For ``residency_lease_seconds`` after its configuration was last known
    to be current, a VM sends a client's data to all regions of its
    residency, afterwards only to its home region.
    """

    residency_lease_seconds: float = 300.0


class OperatorSettings(_Section, frozen=True, kw_only=True):
    """Hashes of tokens that are valid before an operator resource exists."""

    token_hashes: list[str] = []


class EndpointSettings(_Section, frozen=True, kw_only=True):
    """Hashes of the tokens that authenticate endpoints."""

    token_hashes: list[str] = []


class LimitSettings(_Section, frozen=True, kw_only=True):
    """Limits of requests, and of this process over all of them.

    ``memory_mb`` is the memory that this process may use, of which a part
    holds requests, and ``descriptors`` the number that it may open; 0 stands
    for the memory of the machine and the limit of the system.
    """

    body_bytes: int = 4 * 1024 * 1024
    default_deadline_seconds: float = 60.0
    max_deadline_seconds: float = 600.0
    memory_mb: int = 0
    descriptors: int = 0


class MechanismSettings(_Section, frozen=True, kw_only=True):
    """Switches for the mechanisms of the proxy's routing policy.

    docs/howto/policy.md describes each and when to turn it off. Mechanisms
    that enforce a guarantee, such as the retry budget, have no switch.
    """

    observed_engines: bool = True
    endpoint_speeds: bool = True
    long_prompt_cost: bool = True
    late_parts: bool = True
    full_slots: bool = True
    memory_room: bool = True
    reading_progress: bool = True
    urgent_share: bool = True
    endpoint_holdings: bool = True
    fetched_beginnings: bool = True
    hashed_homes: bool = True
    shared_loads: bool = True
    stale_spread: bool = True
    region_spill: bool = True
    early_refusal: bool = True
    writing_risk: bool = True
    output_pace: bool = True
    failing_set_aside: bool = True
    mute_avoided: bool = True
    silence_given_up: bool = True
    routes_awaited: bool = True
    return_times: bool = True
    fair_shares: bool = True


class PolicySettings(_Section, frozen=True, kw_only=True):
    """The routing policy under load above capacity.

    ``tail`` minimizes the tail latency of the highest ranks; ``worth``
    maximizes the worth of the completed requests. docs/howto/policy.md
    describes each setting.
    """

    prefer: Literal["tail", "worth"] = "tail"
    max_wait_seconds: float = 5.0
    choices: int = 3
    slow_start_seconds: float = 10.0
    wide_area_seconds: float = 0.055
    spill_margin_seconds: float = 0.1
    spill_reserve: float = 0.1
    crossing_seconds_a_megabyte: float = 4.0
    waiting_line: bool = False
    mechanisms: MechanismSettings = MechanismSettings()


class AttemptSettings(_Section, frozen=True, kw_only=True):
    """Timeouts of an attempt, after which another endpoint is tried."""

    first_token_seconds: float = 15.0
    between_tokens_seconds: float = 10.0


class ClaimSettings(_Section, frozen=True, kw_only=True):
    """The VMs of this region that store the claims of its clients.

    ``keepers`` maps ids to control addresses and has to be the same on all
    VMs of the region and stay the same across restarts. If it is empty, the
    control VMs of all regions store the claims.
    """

    keepers: dict[str, str] = {}


class OrderSettings(_Section, frozen=True, kw_only=True):
    """The rate limit of orders that make endpoints load weights.

    ``loads_a_minute`` is the capacity of the weight store for all data
    centres together, which is divided equally between them.
    """

    loads_a_minute: float = 60.0


class DrainSettings(_Section, frozen=True, kw_only=True):
    """The timeouts of draining before a shutdown.

    For ``lists_seconds`` callers may still use a cached list of entries that
    contains this VM; then running requests get up to ``limit_seconds`` to
    finish.
    """

    lists_seconds: float = 6.0
    limit_seconds: float = 120.0


class LogSettings(_Section, frozen=True, kw_only=True):
    """The level and format of the log."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of a daemon."""

    vm: VmSettings
    listen: ListenSettings = ListenSettings()
    cluster: ClusterSettings = ClusterSettings()
    control: ControlSettings = ControlSettings()
    topology: TopologySettings = TopologySettings()
    passthrough: PassThroughSettings = PassThroughSettings()
    callers: CallerSettings = CallerSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    operators: OperatorSettings = OperatorSettings()
    endpoints: EndpointSettings = EndpointSettings()
    limits: LimitSettings = LimitSettings()
    policy: PolicySettings = PolicySettings()
    attempts: AttemptSettings = AttemptSettings()
    claims: ClaimSettings = ClaimSettings()
    orders: OrderSettings = OrderSettings()
    drain: DrainSettings = DrainSettings()
    log: LogSettings = LogSettings()
