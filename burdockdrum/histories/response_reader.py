"""Read an answer as a caller does and note how it ended."""

import msgspec

from burdockdrum.histories.events import Ending
from burdockdrum.histories.events import Sort
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamAnswer

_DONE = b"[DONE]"


class AnswerReading:
    """What a caller has read of one answer.

    Until a terminal marker, a whole body or an error has been read, the
    answer counts as cut.
    """

    def __init__(self, *, sort: Sort) -> None:
        """Start with nothing read."""
        self._sort = sort
        self.ending = Ending.CUT
        self.verdict: str | None = None
        self.code: str | None = None
        self.text = ""
        self.marked_done = False

    async def read(self, answer: UpstreamAnswer) -> None:
        """Read an answer to its end.

        :raises AnswerLost: if the connection broke
        """
        if answer.status != 200 or self._sort is not Sort.STREAMED:
            body = await read_whole(answer)
            self._take_whole(answer.status, body)
            return
        buffer = b""
        async for part in answer.chunks():
            buffer += part
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                self._take_event(event)

    def _take_whole(self, status: int, body: bytes) -> None:
        if status != 200:
            self._take_error(body)
            return
        self.ending = Ending.ANSWERED
        self.marked_done = True
        if self._sort is Sort.WHOLE:
            choice = msgspec.json.decode(body)["choices"][0]
            self.text = choice["message"]["content"]

    def _take_event(self, event: bytes) -> None:
        data = b"".join(
            line.removeprefix(b"data: ")
            for line in event.split(b"\n")
            if line.startswith(b"data: ")
        )
        if data == _DONE:
            self.marked_done = True
            self.ending = Ending.ANSWERED
        elif b'"error"' in data:
            self._take_error(data)
        elif data:
            choice = msgspec.json.decode(data)["choices"][0]
            self.text += choice["delta"].get("content", "")

    def _take_error(self, body: bytes) -> None:
        error = msgspec.json.decode(body)["error"]
        self.ending = Ending.REFUSED
        self.verdict = error["verdict"]
        self.code = error["code"]
