"""The deterministic state machine that stores the accepted resources."""

from collections.abc import Callable

import msgspec

from burdockdrum.resources.configuration import Configuration
from burdockdrum.resources.errors import ResourceError
from burdockdrum.resources.evacuation_orders import EvacuationOrders
from burdockdrum.resources.evacuation_orders import EvacuationOrdersSnapshot
from burdockdrum.resources.kinds import Resource
from burdockdrum.resources.kinds import ResourceKey
from burdockdrum.resources.kinds import ResourceRevision
from burdockdrum.resources.kinds import Spec
from burdockdrum.resources.recorded_results import digest_change
from burdockdrum.resources.recorded_results import RecordedResult
from burdockdrum.resources.recorded_results import RecordedResults
from burdockdrum.resources.route_moves import RouteMoves
from burdockdrum.resources.route_moves import RouteMovesSnapshot
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

# There is one route table, so that it takes effect atomically.
ROUTE_TABLE_KEY = ResourceKey("route_table", ROUTE_TABLE_NAME)


class Put(msgspec.Struct, frozen=True, kw_only=True, tag="put"):
    """Create or replace a resource.

    ``expected_version`` is 0 to create a resource.
    """

    change_id: str
    kind: str
    name: str
    expected_version: int
    spec: Spec


class Delete(msgspec.Struct, frozen=True, kw_only=True, tag="delete"):
    """Delete a resource that has the expected version."""

    change_id: str
    kind: str
    name: str
    expected_version: int


class ReplaceRoutes(msgspec.Struct, frozen=True, kw_only=True, tag="routes"):
    """Replace the route table if its generation is higher.

    A table whose generation is not higher is acknowledged and ignored, so
    that resending is idempotent without a recorded result.
    """

    spec: RouteTableSpec


class SetEvacuation(
    msgspec.Struct, frozen=True, kw_only=True, tag="evacuation"
):
    """Start or end the evacuation of a data centre.

    ``expected_order`` is the number of the data centre's last order before
    this one was sent, None if it doesn't matter.
    """

    data_centre: str
    evacuated: bool
    expected_order: int | None = None


Change = Put | Delete | ReplaceRoutes | SetEvacuation


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a change.

    ``code`` is ``accepted``, ``conflict`` or ``invalid``; ``current`` is the
    resource after the change, or the one that the change conflicts with.
    """

    code: str
    revision: int
    message: str = ""
    current: Resource | None = None


class StoreSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state of a store, including recorded results."""

    revision: int
    resources: list[Resource]
    answers: list[RecordedResult]
    evacuation_orders: EvacuationOrdersSnapshot = msgspec.field(
        default_factory=EvacuationOrdersSnapshot
    )
    route_moves: RouteMovesSnapshot = msgspec.field(
        default_factory=RouteMovesSnapshot
    )


class ResourceStore:
    """The accepted resources and the results of recent changes.

    It is deterministic, as each member of the replicated log applies the
    same changes: it uses no clock and no random numbers.
    """

    def __init__(self) -> None:
        """Create an empty store at revision 0."""
        self.configuration = Configuration()
        self.listeners: list[Callable[[ResourceRevision | None], None]] = []
        self.evacuation_orders = EvacuationOrders()
        self.route_moves = RouteMoves()
        self._results = RecordedResults()

    def apply(self, change: Change) -> ChangeResult:
        """Apply a change, or return the recorded result if it is resent."""
        match change:
            case ReplaceRoutes(spec=spec):
                return self._replace_routes(spec)
            case SetEvacuation():
                return self._set_evacuation(change)
            case _:
                return self._apply_once(change)

    def _apply_once(self, change: Put | Delete) -> ChangeResult:
        recorded = self._results.find(change.change_id)
        if recorded is not None:
            return self._replay_result(change, recorded)
        result = self._apply_new(change)
        self._results.add(
            RecordedResult(
                change_id=change.change_id,
                digest=digest_change(change),
                code=result.code,
                revision=result.revision,
                message=result.message,
            )
        )
        return result

    def snapshot(self) -> StoreSnapshot:
        """Return the complete state."""
        return StoreSnapshot(
            revision=self.configuration.revision,
            resources=list(self.configuration.resources_by_key.values()),
            answers=self._results.as_list(),
            evacuation_orders=self.evacuation_orders.snapshot(),
            route_moves=self.route_moves.snapshot(),
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.configuration = Configuration.from_resources(
            snapshot.revision, snapshot.resources
        )
        self._results = RecordedResults(snapshot.answers)
        self.evacuation_orders.restore(snapshot.evacuation_orders)
        self.route_moves.restore(snapshot.route_moves)
        self._notify_listeners(None)

    def _replace_routes(self, spec: RouteTableSpec) -> ChangeResult:
        try:
            check_routes(spec)
        except ResourceError as error:
            return self._refuse(str(error))
        current = self.configuration.route_table
        if current is not None and spec.generation <= current.generation:
            return self._acknowledge()
        return self._revise(ROUTE_TABLE_KEY, spec)

    def _set_evacuation(self, change: SetEvacuation) -> ChangeResult:
        key = ResourceKey("evacuation", change.data_centre)
        try:
            check_key(key)
        except ResourceError as error:
            return self._refuse(str(error))
        is_evacuated = key in self.configuration.resources_by_key
        number = self.evacuation_orders.number_of(change.data_centre)
        is_outdated = change.expected_order not in (None, number)
        if is_outdated and is_evacuated != change.evacuated:
            return ChangeResult(
                code=CONFLICT,
                revision=self.configuration.revision,
                message=f"order {number} of data centre "
                f"{change.data_centre!r} was applied since this one was sent",
            )
        # Also where nothing changes: an order that was sent before this one
        # and arrives later must not be applied.
        self.evacuation_orders.advance(change.data_centre)
        if is_evacuated == change.evacuated:
            return self._acknowledge()
        return self._revise(
            key, EvacuationSpec() if not is_evacuated else None
        )

    def _acknowledge(self) -> ChangeResult:
        return ChangeResult(
            code=ACCEPTED, revision=self.configuration.revision
        )

    def _replay_result(
        self, change: Put | Delete, recorded: RecordedResult
    ) -> ChangeResult:
        if recorded.digest != digest_change(change):
            return self._refuse("change_id was used for another change")
        current = self._find(change)
        if recorded.code == ACCEPTED:
            current = _make_resource(change, recorded.revision)
        return ChangeResult(
            code=recorded.code,
            revision=recorded.revision,
            message=recorded.message,
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
        resource_revision = ResourceRevision(
            revision=revision, kind=key.kind, name=key.name, resource=resource
        )
        before = self.configuration.route_table
        self.configuration = self.configuration.revise([resource_revision])
        if before is not None and isinstance(spec, RouteTableSpec):
            self.route_moves.advance(before, spec, revision)
        self._notify_listeners(resource_revision)
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

    def _notify_listeners(
        self, resource_revision: ResourceRevision | None
    ) -> None:
        for listener in self.listeners:
            listener(resource_revision)


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
