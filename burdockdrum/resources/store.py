"""The state machine that holds the accepted resources."""

import msgspec

from burdockdrum.resources.configuration import Configuration
from burdockdrum.resources.specs import Resource
from burdockdrum.resources.specs import ResourceKey
from burdockdrum.resources.specs import Spec
from burdockdrum.resources.validation import check_key
from burdockdrum.resources.validation import check_references
from burdockdrum.resources.validation import check_unreferenced
from burdockdrum.resources.validation import ResourceError


class Put(msgspec.Struct, frozen=True, kw_only=True, tag="put"):
    """Create or replace a resource.

    ``expected_version`` is 0 for a resource that must not exist yet.
    """

    change_id: str
    kind: str
    name: str
    expected_version: int
    spec: Spec


class Delete(msgspec.Struct, frozen=True, kw_only=True, tag="delete"):
    """Delete a resource of the expected version."""

    change_id: str
    kind: str
    name: str
    expected_version: int


Change = Put | Delete


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a change.

    ``code`` is ``accepted``, ``conflict`` or ``invalid``; ``current`` is the
    resource after the change, or the one that the change conflicts with.
    """

    code: str
    revision: int
    message: str = ""
    current: Resource | None = None


class ResourceStore:
    """The accepted resources, changed by one command at a time."""

    def __init__(self) -> None:
        """Create an empty store at revision 0."""
        self.configuration = Configuration()
        self._results_by_change_id: dict[str, ChangeResult] = {}

    def apply(self, change: Change) -> ChangeResult:
        """Carry out a change, or return the first answer to it again."""
        known = self._results_by_change_id.get(change.change_id)
        if known is not None:
            return known
        result = self._apply_new(change)
        self._results_by_change_id[change.change_id] = result
        return result

    def _apply_new(self, change: Change) -> ChangeResult:
        key = ResourceKey(change.kind, change.name)
        current = self.configuration.resources_by_key.get(key)
        version = current.version if current is not None else 0
        revision = self.configuration.revision
        if version != change.expected_version:
            return ChangeResult(
                code="conflict",
                revision=revision,
                message=f"the resource is at version {version}",
                current=current,
            )
        try:
            check_key(key)
            self._check(key, change)
        except ResourceError as error:
            return ChangeResult(
                code="invalid", revision=revision, message=str(error)
            )
        return self._accept(key, change)

    def _check(self, key: ResourceKey, change: Change) -> None:
        match change:
            case Put(spec=spec):
                check_references(self.configuration, key, spec)
            case Delete():
                check_unreferenced(self.configuration, key)

    def _accept(self, key: ResourceKey, change: Change) -> ChangeResult:
        revision = self.configuration.revision + 1
        resources_by_key = dict(self.configuration.resources_by_key)
        resource: Resource | None = None
        match change:
            case Put(spec=spec):
                resource = Resource(
                    kind=key.kind,
                    name=key.name,
                    version=revision,
                    spec=spec,
                )
                resources_by_key[key] = resource
            case Delete():
                resources_by_key.pop(key, None)
        self.configuration = Configuration(
            revision=revision, resources_by_key=resources_by_key
        )
        return ChangeResult(
            code="accepted", revision=revision, current=resource
        )
