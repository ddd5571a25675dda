"""The desired state of each kind of resource.

These are ``msgspec.Struct`` rather than data classes, as only structs can
reject unknown fields while decoding.
"""

from typing import Literal

import msgspec


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits over all entry VMs of one data centre; None means unlimited."""

    requests_per_second: float | None = None
    concurrent_requests: int | None = None
    tokens_per_second: float | None = None


class SpecBase(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="kind",
):
    """The base class of the desired state of a resource."""


class RegionSpec(SpecBase, frozen=True, kw_only=True, tag="region"):
    """A region, the unit of clients' data residency."""

    description: str = ""


class DataCentreSpec(SpecBase, frozen=True, kw_only=True, tag="data_centre"):
    """A data centre in a region."""

    region: str
    description: str = ""


class ServiceSpec(SpecBase, frozen=True, kw_only=True, tag="service"):
    """A model service, or a plain service whose requests are only proxied.

    ``regions`` may host it. ``engines_check_fencing`` says whether its
    engines reject orders with an outdated fencing token; otherwise orders
    are delayed until the previous lease holder must have stopped. Orders
    reconcile the desired version, adapters and replicas.
    """

    type: Literal["model", "plain"] = "model"
    regions: list[str]
    engines_check_fencing: bool = True
    version: str = ""
    adapters: list[str] = []
    min_replicas: int = 1
    max_unavailable: int = 1
    unrepeatable_paths: list[str] = []


class TeamSpec(SpecBase, frozen=True, kw_only=True, tag="team"):
    """A team of clients that share a quota."""

    quota: Quota = Quota()


class PriorityClassSpec(
    SpecBase, frozen=True, kw_only=True, tag="priority_class"
):
    """A priority class of requests.

    A lower ``rank`` is served first. ``worth`` is the value of a completed
    request to the client, in a unit that all classes share.
    """

    rank: int
    worth: float = 1.0
    deadline_seconds: float = 60.0


class ClientSpec(SpecBase, frozen=True, kw_only=True, tag="client"):
    """A client: its token hashes, data residency and limits.

    ``home_region`` stores the claims of its unrepeatable requests.
    """

    home_region: str
    residency: list[str]
    token_hashes: list[str]
    team: str | None = None
    priority_class: str | None = None
    priority_classes: list[str] = []
    quota: Quota = Quota()


class OperatorSpec(SpecBase, frozen=True, kw_only=True, tag="operator"):
    """A person or program with access to the operators' API."""

    token_hashes: list[str]
