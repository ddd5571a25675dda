"""Reads a response as a caller does and classifies how it ended."""

import msgspec

from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import Sort
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamAnswer

_DONE = b"[DONE]"


class ResponseReader:
    """Reads one response.

    The response counts as truncated until a terminator, a complete body or
    an error has been read.
    """

    def __init__(self, *, sort: Sort) -> None:
        """Create a reader for a request of one kind."""
        self._sort = sort
        self.ending = Ending.CUT
        self.verdict: str | None = None
        self.code: str | None = None
        self.text = ""
        self.has_terminator = False

    async def read(self, answer: UpstreamAnswer) -> None:
        """Read a response to its end.

        :raises AnswerLost: if the connection broke
        """
        if answer.status != 200 or self._sort is not Sort.STREAMED:
            body = await read_whole(answer)
            self._read_body(answer.status, body)
            return
        buffer = b""
        async for part in answer.chunks():
            buffer += part
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                self._read_event(event)

    def _read_body(self, status: int, body: bytes) -> None:
        if status != 200:
            self._read_error(body)
            return
        self.ending = Ending.ANSWERED
        self.has_terminator = True
        if self._sort is Sort.WHOLE:
            choice = msgspec.json.decode(body)["choices"][0]
            self.text = choice["message"]["content"]

    def _read_event(self, event: bytes) -> None:
        data = b"".join(
            line.removeprefix(b"data: ")
            for line in event.split(b"\n")
            if line.startswith(b"data: ")
        )
        if data == _DONE:
            self.has_terminator = True
            self.ending = Ending.ANSWERED
        elif b'"error"' in data:
            self._read_error(data)
        elif data:
            choice = msgspec.json.decode(data)["choices"][0]
            self.text += choice["delta"].get("content", "")

    def _read_error(self, body: bytes) -> None:
        error = msgspec.json.decode(body)["error"]
        self.ending = Ending.REFUSED
        self.verdict = error["verdict"]
        self.code = error["code"]
