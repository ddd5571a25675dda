"""Calls of routes that stream."""

from tests.passthrough.entries import RelayCase


class StreamCase(RelayCase):
    """Base class of tests of responses that are numbered events."""

    ROUTE = {"streams": True, "resumable": True}

    async def call(self, entry):
        """Send a request.

        :returns: the status, the head, the events, and whether the response
            ended as complete
        """
        status, head, body = await entry.call(method=b"POST", body=b"x")
        if b"chunked" not in head:
            return status, head, body, True
        is_complete = body.endswith(b"0\r\n\r\n")
        data = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            if not size or int(size, 16) == 0:
                break
            data += body[: int(size, 16)]
            body = body[int(size, 16) + 2 :]
        return status, head, data, is_complete
