"""The kinds of resource by name, and accepted resources."""

from typing import NamedTuple

import msgspec

from burdockdrum.resources.routes import EvacuationSpec
from burdockdrum.resources.routes import RouteTableSpec
from burdockdrum.resources.specs import ClientSpec
from burdockdrum.resources.specs import DataCentreSpec
from burdockdrum.resources.specs import OperatorSpec
from burdockdrum.resources.specs import PriorityClassSpec
from burdockdrum.resources.specs import RegionSpec
from burdockdrum.resources.specs import ServiceSpec
from burdockdrum.resources.specs import TeamSpec

Spec = (
    RegionSpec
    | DataCentreSpec
    | ServiceSpec
    | TeamSpec
    | PriorityClassSpec
    | ClientSpec
    | OperatorSpec
    | RouteTableSpec
    | EvacuationSpec
)

SPECS_BY_KIND: dict[str, type[Spec]] = {
    "region": RegionSpec,
    "data_centre": DataCentreSpec,
    "service": ServiceSpec,
    "team": TeamSpec,
    "priority_class": PriorityClassSpec,
    "client": ClientSpec,
    "operator": OperatorSpec,
    "route_table": RouteTableSpec,
    "evacuation": EvacuationSpec,
}


class ResourceKey(NamedTuple):
    """The kind and name that identify a resource."""

    kind: str
    name: str


class Resource(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted resource.

    ``version`` is the revision of the configuration that last changed it.
    """

    kind: str
    name: str
    version: int
    spec: Spec

    @property
    def key(self) -> ResourceKey:
        """The key that identifies the resource."""
        return ResourceKey(self.kind, self.name)


class Revised(msgspec.Struct, frozen=True, kw_only=True):
    """The change of one revision; ``resource`` is None for a deletion."""

    revision: int
    kind: str
    name: str
    resource: Resource | None
