"""An immutable view of all resources at one revision."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import functools

from burdockdrum.resources.digest import DIGEST_MASK
from burdockdrum.resources.digest import digest_resource
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
    """The accepted resources at a revision; immutable.

    ``digest`` is the sum of the resources' digests, so that it is updated
    incrementally.
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
        """Create a configuration of the given resources."""
        resources_by_key = {r.key: r for r in resources}
        digests = map(digest_resource, resources_by_key.values())
        return cls(
            revision=revision,
            resources_by_key=resources_by_key,
            digest=sum(digests) & DIGEST_MASK,
        )

    def revise(self, changes: Iterable[Revised]) -> "Configuration":
        """Return the configuration with changes applied in order."""
        revision, digest = self.revision, self.digest
        resources_by_key = dict(self.resources_by_key)
        for change in changes:
            key = ResourceKey(change.kind, change.name)
            old = resources_by_key.pop(key, None)
            if old is not None:
                digest -= digest_resource(old)
            if change.resource is not None:
                resources_by_key[key] = change.resource
                digest += digest_resource(change.resource)
            revision = change.revision
        return Configuration(
            revision=revision,
            resources_by_key=resources_by_key,
            digest=digest & DIGEST_MASK,
        )

    @functools.cached_property
    def data_centres_by_name(self) -> dict[str, DataCentreSpec]:
        """Data centres by name."""
        return self._specs_by_name(DataCentreSpec)

    @functools.cached_property
    def services_by_name(self) -> dict[str, ServiceSpec]:
        """Services by name."""
        return self._specs_by_name(ServiceSpec)

    @functools.cached_property
    def teams_by_name(self) -> dict[str, TeamSpec]:
        """Teams by name."""
        return self._specs_by_name(TeamSpec)

    @functools.cached_property
    def priority_classes_by_name(self) -> dict[str, PriorityClassSpec]:
        """Priority classes by name."""
        return self._specs_by_name(PriorityClassSpec)

    @functools.cached_property
    def clients_by_id(self) -> dict[str, ClientSpec]:
        """Clients by id."""
        return self._specs_by_name(ClientSpec)

    @functools.cached_property
    def client_ids_by_token_hash(self) -> dict[str, str]:
        """Client ids by the hash of each of their tokens."""
        return {
            token_hash: client_id
            for client_id, spec in self.clients_by_id.items()
            for token_hash in spec.token_hashes
        }

    @functools.cached_property
    def operators_by_token_hash(self) -> dict[str, str]:
        """Names of operators by the hash of each of their tokens."""
        return {
            token_hash: name
            for name, spec in self._specs_by_name(OperatorSpec).items()
            for token_hash in spec.token_hashes
        }

    @functools.cached_property
    def route_table(self) -> RouteTableSpec | None:
        """The route table, None if there is none yet."""
        return next(iter(self._specs_by_name(RouteTableSpec).values()), None)

    @functools.cached_property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Names of data centres whose endpoints receive no new requests."""
        return frozenset(self._specs_by_name(EvacuationSpec))

    def _specs_by_name(self, spec_type: type) -> dict:
        return {
            resource.name: resource.spec
            for resource in self.resources_by_key.values()
            if isinstance(resource.spec, spec_type)
        }
