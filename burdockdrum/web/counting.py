"""An application that counts the requests in progress."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from blacksheep import Application
from blacksheep.server.routing import Router

from burdockdrum.vms import Drain

# A drain waits only for these, not for status pages or endpoints' reports.
COUNTED_PATH_PREFIXES = (
    "/v1/chat/",
    "/v1/completions",
    "/v1/forward",
    "/services/",
)


class CountingApplication(Application):
    """Reports the requests in progress to the drain.

    They are counted here rather than in handlers, as a streamed body is
    sent after its handler has returned.
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
        if scope["type"] != "http" or not path.startswith(
            COUNTED_PATH_PREFIXES
        ):
            await super().__call__(scope, receive, send)
            return
        with self._drain.count_request():
            await super().__call__(scope, receive, send)
