"""Validate a route table."""

from burdockdrum.resources.errors import ResourceError
from burdockdrum.resources.routes import Backend
from burdockdrum.resources.routes import Route
from burdockdrum.resources.routes import RouteTableSpec
from burdockdrum.resources.team_validation import check_teams


def check_routes(spec: RouteTableSpec) -> None:
    """Validate the routes, services, limits and teams of a route table.

    :raises ResourceError: naming the first invalid field
    """
    names = _check_backends(spec.backends)
    seen: dict[tuple[str, str], str] = {}
    for route in spec.routes:
        field = f"spec.routes[{route.name!r}]"
        _check_route(field, route, names)
        key = (route.host.lower(), route.path_prefix)
        if key in seen:
            raise ResourceError(
                f"{field} has the same host and prefix as route {seen[key]!r}"
            )
        seen[key] = route.name
    _check_limits(spec)
    check_teams(spec.teams or [])


def _check_backends(backends: list[Backend]) -> set[str]:
    names: set[str] = set()
    for backend in backends:
        if backend.name in names:
            raise ResourceError(f"spec.backends: duplicate {backend.name!r}")
        names.add(backend.name)
    return names


def _check_route(field: str, route: Route, services: set[str]) -> None:
    if not route.host:
        raise ResourceError(f"{field}.host is empty")
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ResourceError(
            f"{field}.path_prefix must begin and end with a slash"
        )
    if route.timeout_seconds <= 0:
        raise ResourceError(f"{field}.timeout_seconds must be above 0")
    if route.attempts < 1:
        raise ResourceError(f"{field}.attempts must be at least 1")
    for share in route.services:
        if share.service not in services:
            raise ResourceError(
                f"{field}.services: there is no service {share.service!r}"
            )
        if share.weight < 0:
            raise ResourceError(f"{field}.services: a weight is below 0")
    if sum(share.weight for share in route.services) <= 0:
        raise ResourceError(f"{field}.services: the weights add up to 0")


def _check_limits(spec: RouteTableSpec) -> None:
    limits = spec.limits
    for name in limits.__struct_fields__:
        if getattr(limits, name) <= 0:
            raise ResourceError(f"spec.limits.{name} must be above 0")
