"""Validate a resource and its references to others."""

import re
from typing import Any

import msgspec

from burdockdrum.resources.configuration import Configuration
from burdockdrum.resources.errors import ResourceError
from burdockdrum.resources.kinds import ResourceKey
from burdockdrum.resources.kinds import Spec
from burdockdrum.resources.kinds import SPECS_BY_KIND
from burdockdrum.resources.route_validation import check_routes
from burdockdrum.resources.routes import ROUTE_TABLE_NAME
from burdockdrum.resources.routes import RouteTableSpec
from burdockdrum.resources.specs import ClientSpec
from burdockdrum.resources.specs import DataCentreSpec
from burdockdrum.resources.specs import OperatorSpec
from burdockdrum.resources.specs import PriorityClassSpec
from burdockdrum.resources.specs import Quota
from burdockdrum.resources.specs import ServiceSpec
from burdockdrum.resources.specs import TeamSpec

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_TOKEN_HASH = re.compile(r"[0-9a-f]{64}")


def check_key(key: ResourceKey) -> None:
    """Check that the kind exists and the name is well formed.

    :raises ResourceError: if either is invalid
    """
    if key.kind not in SPECS_BY_KIND:
        known = ", ".join(sorted(SPECS_BY_KIND))
        raise ResourceError(f"kind {key.kind!r} is not one of: {known}")
    if not _NAME.fullmatch(key.name):
        raise ResourceError(
            f"name {key.name!r} must be 1 to 63 of a-z, 0-9, dot, dash and "
            "underscore, and start with a letter or digit"
        )


def check_kind(key: ResourceKey, spec: Spec) -> None:
    """Check that the kind of a spec matches its key.

    :raises ResourceError: if it does not
    """
    if not isinstance(spec, SPECS_BY_KIND[key.kind]):
        raise ResourceError(f"spec.kind is not {key.kind!r}")


def parse_spec(kind: str, fields: dict[str, Any]) -> Spec:
    """Parse the desired state of a resource.

    :raises ResourceError: naming the first field that is unknown, missing
        or of a wrong type
    """
    if kind not in SPECS_BY_KIND:
        known = ", ".join(sorted(SPECS_BY_KIND))
        raise ResourceError(f"kind {kind!r} is not one of: {known}")
    if "kind" in fields and fields["kind"] != kind:
        raise ResourceError(f"spec.kind is not {kind!r}")
    try:
        spec: Spec = msgspec.convert(fields, SPECS_BY_KIND[kind])
        msgspec.msgpack.encode(spec)
    except msgspec.ValidationError as error:
        raise ResourceError(f"spec: {error}") from None
    except OverflowError:
        raise ResourceError("spec: a number exceeds 64 bits") from None
    return spec


def check_references(
    configuration: Configuration, key: ResourceKey, spec: Spec
) -> None:
    """Check that references exist and values are within their ranges.

    :raises ResourceError: naming the first invalid field
    """
    match spec:
        case DataCentreSpec(region=region):
            _check_exists(configuration, "spec.region", "region", region)
        case ServiceSpec():
            _check_service(configuration, spec)
        case ClientSpec():
            _check_client(configuration, spec)
            _check_tokens(configuration, key, spec.token_hashes)
        case TeamSpec(quota=quota):
            _check_quota(quota)
        case PriorityClassSpec(deadline_seconds=seconds):
            if seconds <= 0:
                raise ResourceError("spec.deadline_seconds must be above 0")
        case OperatorSpec(token_hashes=hashes):
            _check_hashes(hashes)
            _check_tokens(configuration, key, hashes)
        case RouteTableSpec():
            _check_route_table(configuration, key, spec)


def _check_route_table(
    configuration: Configuration, key: ResourceKey, spec: RouteTableSpec
) -> None:
    current = configuration.route_table
    if key.name != ROUTE_TABLE_NAME:
        raise ResourceError(
            f"the only route table is named {ROUTE_TABLE_NAME!r}"
        )
    if current is not None and spec.generation <= current.generation:
        raise ResourceError(
            f"spec.generation must be above {current.generation}"
        )
    check_routes(spec)


def check_unreferenced(configuration: Configuration, key: ResourceKey) -> None:
    """Check that no resource refers to the one to be deleted.

    :raises ResourceError: naming a resource that does
    """
    for other in configuration.resources_by_key.values():
        if key in find_references(other.spec):
            raise ResourceError(
                f"{key.kind} {key.name!r} is used by "
                f"{other.kind} {other.name!r}"
            )


def find_references(spec: Spec) -> set[ResourceKey]:
    """Return the keys that a spec refers to."""
    keys: set[ResourceKey] = set()
    match spec:
        case DataCentreSpec(region=region):
            keys.add(ResourceKey("region", region))
        case ServiceSpec(regions=regions):
            keys.update(ResourceKey("region", name) for name in regions)
        case ClientSpec():
            names = {spec.home_region, *spec.residency}
            keys.update(ResourceKey("region", name) for name in names)
            if spec.team is not None:
                keys.add(ResourceKey("team", spec.team))
            classes = set(spec.priority_classes)
            if spec.priority_class is not None:
                classes.add(spec.priority_class)
            keys.update(ResourceKey("priority_class", n) for n in classes)
    return keys


def _check_service(configuration: Configuration, spec: ServiceSpec) -> None:
    if not spec.regions:
        raise ResourceError("spec.regions must name at least one region")
    for index, region in enumerate(spec.regions):
        field = f"spec.regions[{index}]"
        _check_exists(configuration, field, "region", region)
    if spec.min_replicas < 0:
        raise ResourceError("spec.min_replicas must not be negative")
    if spec.max_unavailable < 1:
        raise ResourceError("spec.max_unavailable must be at least 1")


def _check_client(configuration: Configuration, spec: ClientSpec) -> None:
    if not spec.residency:
        raise ResourceError("spec.residency must name at least one region")
    for index, region in enumerate(spec.residency):
        field = f"spec.residency[{index}]"
        _check_exists(configuration, field, "region", region)
    if spec.home_region not in spec.residency:
        raise ResourceError("spec.home_region is not in spec.residency")
    if spec.team is not None:
        _check_exists(configuration, "spec.team", "team", spec.team)
    if spec.priority_class is not None:
        _check_exists(
            configuration,
            "spec.priority_class",
            "priority_class",
            spec.priority_class,
        )
    for index, name in enumerate(spec.priority_classes):
        field = f"spec.priority_classes[{index}]"
        _check_exists(configuration, field, "priority_class", name)
    _check_hashes(spec.token_hashes)
    _check_quota(spec.quota)


def _check_quota(quota: Quota) -> None:
    for field in quota.__struct_fields__:
        limit = getattr(quota, field)
        if limit is not None and limit < 0:
            raise ResourceError(f"spec.quota.{field} must not be negative")


def _check_tokens(
    configuration: Configuration, key: ResourceKey, hashes: list[str]
) -> None:
    # A shared token would authenticate one client or operator as another.
    for index, value in enumerate(hashes):
        for kind, owners_by_hash in (
            ("client", configuration.client_ids_by_token_hash),
            ("operator", configuration.operators_by_token_hash),
        ):
            owner = ResourceKey(kind, owners_by_hash.get(value, ""))
            if owner.name and owner != key:
                raise ResourceError(
                    f"spec.token_hashes[{index}] is already in use by "
                    f"{owner.kind} {owner.name!r}"
                )


def _check_hashes(hashes: list[str]) -> None:
    for index, value in enumerate(hashes):
        if not _TOKEN_HASH.fullmatch(value):
            raise ResourceError(
                f"spec.token_hashes[{index}] is not a SHA-256 in "
                "hexadecimal; create one with 'burdockdrum hash-token'"
            )


def _check_exists(
    configuration: Configuration, field: str, kind: str, name: str
) -> None:
    if ResourceKey(kind, name) not in configuration.resources_by_key:
        raise ResourceError(f"{field}: there is no {kind} {name!r}")
