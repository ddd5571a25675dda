"""All resources at one revision."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import functools

from burdockdrum.resources.digest import DIGEST_MASK
from burdockdrum.resources.digest import digest_of
from burdockdrum.resources.kinds import Resource
from burdockdrum.resources.kinds import ResourceKey
from burdockdrum.resources.kinds import Revised
from burdockdrum.resources.routes import EvacuationSpec
from burdockdrum.resources.routes import RouteTableSpec
from burdockdrum.resources.specs import ClientSpec
from burdockdrum.resources.specs import DataCentreSpec
from burdockdrum.resources.specs import OperatorSpec
from burdockdrum.resources.specs import PriorityClassSpec
from burdockdrum.resources.specs import ServiceSpec
from burdockdrum.resources.specs import TeamSpec


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """The accepted resources at a revision; never changed in place.

    ``digest`` is the sum of the resources' digests, so that a change costs
    two hashes and not one of everything.
    """

    revision: int = 0
    resources_by_key: Mapping[ResourceKey, Resource] = field(
        default_factory=dict
    )
    digest: int = 0

    @classmethod
    def of(
        cls, revision: int, resources: Iterable[Resource]
    ) -> "Configuration":
        """Return the configuration that holds these resources."""
        resources_by_key = {r.key: r for r in resources}
        digests = map(digest_of, resources_by_key.values())
        return cls(
            revision=revision,
            resources_by_key=resources_by_key,
            digest=sum(digests) & DIGEST_MASK,
        )

    def revise(self, changes: Iterable[Revised]) -> "Configuration":
        """Return the configuration after changes, in their order."""
        revision, digest = self.revision, self.digest
        resources_by_key = dict(self.resources_by_key)
        for change in changes:
            key = ResourceKey(change.kind, change.name)
            old = resources_by_key.pop(key, None)
            if old is not None:
                digest -= digest_of(old)
            if change.resource is not None:
                resources_by_key[key] = change.resource
                digest += digest_of(change.resource)
            revision = change.revision
        return Configuration(
            revision=revision,
            resources_by_key=resources_by_key,
            digest=digest & DIGEST_MASK,
        )

    @functools.cached_property
    def data_centres_by_name(self) -> dict[str, DataCentreSpec]:
        """Return the data centres."""
        return self._specs(DataCentreSpec)

    @functools.cached_property
    def services_by_name(self) -> dict[str, ServiceSpec]:
        """Return the services."""
        return self._specs(ServiceSpec)

    @functools.cached_property
    def teams_by_name(self) -> dict[str, TeamSpec]:
        """Return the teams."""
        return self._specs(TeamSpec)

    @functools.cached_property
    def priority_classes_by_name(self) -> dict[str, PriorityClassSpec]:
        """Return the priority classes."""
        return self._specs(PriorityClassSpec)

    @functools.cached_property
    def clients_by_id(self) -> dict[str, ClientSpec]:
        """Return the clients."""
        return self._specs(ClientSpec)

    @functools.cached_property
    def client_ids_by_token_hash(self) -> dict[str, str]:
        """Return which client a token's hash belongs to."""
        return {
            token_hash: client_id
            for client_id, spec in self.clients_by_id.items()
            for token_hash in spec.token_hashes
        }

    @functools.cached_property
    def operators_by_token_hash(self) -> dict[str, str]:
        """Return which operator a token's hash belongs to."""
        return {
            token_hash: name
            for name, spec in self._specs(OperatorSpec).items()
            for token_hash in spec.token_hashes
        }

    @functools.cached_property
    def route_table(self) -> RouteTableSpec | None:
        """Return the route table, None before the first."""
        return next(iter(self._specs(RouteTableSpec).values()), None)

    @functools.cached_property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres whose endpoints get no new work."""
        return frozenset(self._specs(EvacuationSpec))

    def _specs(self, spec_type: type) -> dict:
        return {
            resource.name: resource.spec
            for resource in self.resources_by_key.values()
            if isinstance(resource.spec, spec_type)
        }
