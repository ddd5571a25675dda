"""The state machine that holds the accepted resources."""

from collections.abc import Callable

import msgspec

from burdockdrum.resources.answers import digest_change
from burdockdrum.resources.answers import KeptAnswer
from burdockdrum.resources.answers import KeptAnswers
from burdockdrum.resources.configuration import Configuration
from burdockdrum.resources.errors import ResourceError
from burdockdrum.resources.kinds import Resource
from burdockdrum.resources.kinds import ResourceKey
from burdockdrum.resources.kinds import Revised
from burdockdrum.resources.kinds import Spec
from burdockdrum.resources.route_validation import check_routes
from burdockdrum.resources.routes import EvacuationSpec
from burdockdrum.resources.routes import ROUTE_TABLE_NAME
from burdockdrum.resources.routes import RouteTableSpec
from burdockdrum.resources.validation import check_key
from burdockdrum.resources.validation import check_kind
from burdockdrum.resources.validation import check_references
from burdockdrum.resources.validation import check_unreferenced

ACCEPTED = "accepted"
CONFLICT = "conflict"
INVALID = "invalid"

# The route table is one resource: it takes effect as a whole.
ROUTE_TABLE = ResourceKey("route_table", ROUTE_TABLE_NAME)


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


class ReplaceRoutes(msgspec.Struct, frozen=True, kw_only=True, tag="routes"):
    """Bring a route table into force unless a later generation is.

    One that is not later than the table in force is acknowledged and
    changes nothing, so that a resent or overtaken one needs no answer kept.
    """

    spec: RouteTableSpec


class SetEvacuation(
    msgspec.Struct, frozen=True, kw_only=True, tag="evacuation"
):
    """Keep new work from a data centre's endpoints, or no longer do so."""

    data_centre: str
    evacuated: bool


Change = Put | Delete | ReplaceRoutes | SetEvacuation


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a change.

    ``code`` is ``accepted``, ``conflict`` or ``invalid``; ``current`` is the
    resource after the change, or the one that the change conflicts with.
    """

    code: str
    revision: int
    message: str = ""
    current: Resource | None = None


class StoreSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All that a store holds, the answers kept included."""

    revision: int
    resources: list[Resource]
    answers: list[KeptAnswer]


class ResourceStore:
    """The accepted resources, changed by one command at a time.

    Two stores that are given the same changes are the same: no clock, no
    random numbers.
    """

    def __init__(self) -> None:
        """Create an empty store at revision 0."""
        self.configuration = Configuration()
        self.listeners: list[Callable[[Revised | None], None]] = []
        self._answers = KeptAnswers()

    def apply(self, change: Change) -> ChangeResult:
        """Carry out a change, or return the first answer to it again."""
        match change:
            case ReplaceRoutes(spec=spec):
                return self._replace_routes(spec)
            case SetEvacuation():
                return self._set_evacuation(change)
            case _:
                return self._apply_once(change)

    def _apply_once(self, change: Put | Delete) -> ChangeResult:
        kept = self._answers.find(change.change_id)
        if kept is not None:
            return self._answer_again(change, kept)
        result = self._apply_new(change)
        self._answers.keep(
            KeptAnswer(
                change_id=change.change_id,
                digest=digest_change(change),
                code=result.code,
                revision=result.revision,
                message=result.message,
            )
        )
        return result

    def snapshot(self) -> StoreSnapshot:
        """Return all that the store holds."""
        return StoreSnapshot(
            revision=self.configuration.revision,
            resources=list(self.configuration.resources_by_key.values()),
            answers=self._answers.as_list(),
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Replace all that the store holds."""
        self.configuration = Configuration.of(
            snapshot.revision, snapshot.resources
        )
        self._answers = KeptAnswers(snapshot.answers)
        self._tell(None)

    def _replace_routes(self, spec: RouteTableSpec) -> ChangeResult:
        try:
            check_routes(spec)
        except ResourceError as error:
            return self._refuse(str(error))
        current = self.configuration.route_table
        if current is not None and spec.generation <= current.generation:
            return self._acknowledge()
        return self._revise(ROUTE_TABLE, spec)

    def _set_evacuation(self, change: SetEvacuation) -> ChangeResult:
        key = ResourceKey("evacuation", change.data_centre)
        try:
            check_key(key)
        except ResourceError as error:
            return self._refuse(str(error))
        known = key in self.configuration.resources_by_key
        if known == change.evacuated:
            return self._acknowledge()
        return self._revise(key, EvacuationSpec() if not known else None)

    def _acknowledge(self) -> ChangeResult:
        return ChangeResult(
            code=ACCEPTED, revision=self.configuration.revision
        )

    def _answer_again(
        self, change: Put | Delete, kept: KeptAnswer
    ) -> ChangeResult:
        if kept.digest != digest_change(change):
            return self._refuse("change_id was used for another change")
        current = self._find(change)
        if kept.code == ACCEPTED:
            current = _make_resource(change, kept.revision)
        return ChangeResult(
            code=kept.code,
            revision=kept.revision,
            message=kept.message,
            current=current,
        )

    def _apply_new(self, change: Put | Delete) -> ChangeResult:
        try:
            check_key(ResourceKey(change.kind, change.name))
        except ResourceError as error:
            return self._refuse(str(error))
        current = self._find(change)
        version = current.version if current is not None else 0
        if version != change.expected_version:
            return ChangeResult(
                code=CONFLICT,
                revision=self.configuration.revision,
                message=f"the resource is at version {version}",
                current=current,
            )
        try:
            self._check(change)
        except ResourceError as error:
            return self._refuse(str(error))
        return self._accept(change)

    def _check(self, change: Put | Delete) -> None:
        key = ResourceKey(change.kind, change.name)
        match change:
            case Put(spec=spec):
                check_kind(key, spec)
                check_references(self.configuration, key, spec)
            case Delete(expected_version=0):
                raise ResourceError(f"there is no {key.kind} {key.name!r}")
            case Delete():
                check_unreferenced(self.configuration, key)

    def _accept(self, change: Put | Delete) -> ChangeResult:
        spec = change.spec if isinstance(change, Put) else None
        key = ResourceKey(change.kind, change.name)
        result = self._revise(key, spec)
        return ChangeResult(
            code=ACCEPTED,
            revision=result.revision,
            current=_make_resource(change, result.revision),
        )

    def _revise(self, key: ResourceKey, spec: Spec | None) -> ChangeResult:
        revision = self.configuration.revision + 1
        resource = None
        if spec is not None:
            resource = Resource(
                kind=key.kind, name=key.name, version=revision, spec=spec
            )
        revised = Revised(
            revision=revision, kind=key.kind, name=key.name, resource=resource
        )
        self.configuration = self.configuration.revise([revised])
        self._tell(revised)
        return self._acknowledge()

    def _refuse(self, message: str) -> ChangeResult:
        return ChangeResult(
            code=INVALID,
            revision=self.configuration.revision,
            message=message,
        )

    def _find(self, change: Put | Delete) -> Resource | None:
        key = ResourceKey(change.kind, change.name)
        return self.configuration.resources_by_key.get(key)

    def _tell(self, revised: Revised | None) -> None:
        for listener in self.listeners:
            listener(revised)


def _make_resource(change: Put | Delete, revision: int) -> Resource | None:
    match change:
        case Put(spec=spec):
            return Resource(
                kind=change.kind,
                name=change.name,
                version=revision,
                spec=spec,
            )
        case Delete():
            return None
