"""The application that counts the requests it serves."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from blacksheep import Application
from blacksheep.server.routing import Router

from burdockdrum.vms import Drain

# Paths of work; status pages and endpoints' reports hold up no drain.
WORK_PREFIXES = (
    "/v1/chat/",
    "/v1/completions",
    "/v1/forward",
    "/services/",
)


class CountingApplication(Application):
    """Tell the drain how many answers are not finished.

    Counting is done here rather than in a handler: a streamed body is sent
    after its handler has returned.
    """

    def __init__(self, *, router: Router, drain: Drain) -> None:
        """Create an application without routes."""
        super().__init__(router=router, show_error_details=False)
        self._drain = drain

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Serve one ASGI connection."""
        path = scope.get("path", "")
        if scope["type"] != "http" or not path.startswith(WORK_PREFIXES):
            await super().__call__(scope, receive, send)
            return
        with self._drain.count_request():
            await super().__call__(scope, receive, send)
