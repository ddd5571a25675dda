"""The kinds of resource and what an operator may say in each.

These are ``msgspec.Struct`` rather than data classes because only those
refuse unknown fields while decoding; they are frozen all the same.
"""

from typing import Literal

import msgspec


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that hold over all entry VMs of one data centre.

    ``None`` means no limit of that sort.
    """

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
    """A region: data of clients is kept to the regions they allow."""

    description: str = ""


class DataCentreSpec(SpecBase, frozen=True, kw_only=True, tag="data_centre"):
    """A data centre in a region."""

    region: str
    description: str = ""


class ServiceSpec(SpecBase, frozen=True, kw_only=True, tag="service"):
    """A model service, or a plain service that is passed through.

    ``regions`` may host it. ``engines_check_fencing`` says whether its
    engines refuse an order with an old fencing number; where they do not,
    orders wait until the holder before must have stopped. The desired
    versions, adapters and replicas are brought about by orders.
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
    """A class of callers.

    Lower ``rank`` is served first. ``worth`` is what one completed request
    is worth to the client, in any unit that all classes share.
    """

    rank: int
    worth: float = 1.0
    deadline_seconds: float = 60.0


class ClientSpec(SpecBase, frozen=True, kw_only=True, tag="client"):
    """A client: its token hashes, the regions its data may be in, limits.

    ``home_region`` keeps the claims of its unrepeatable requests.
    """

    home_region: str
    residency: list[str]
    token_hashes: list[str]
    team: str | None = None
    priority_class: str | None = None
    priority_classes: list[str] = []
    quota: Quota = Quota()


class OperatorSpec(SpecBase, frozen=True, kw_only=True, tag="operator"):
    """A person or program that may use the operators' API."""

    token_hashes: list[str]
