"""Join the logs of several processes into the story of one request."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json

# What a VM believed shortly before and after it decided.
AROUND_SECONDS = 3.0
# Of a VM's other lines near a request; the story is about the request.
MAX_AROUND = 40
_ABOUT_REQUESTS = "request."
# Of no help to a request's story, and many.
_LEFT_OUT = ("log.",)
_FRAME = frozenset({"at", "level", "event", "vm", "stamp", "request_id"})


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log.

    ``at`` is the process's wall time in seconds; ``stamp`` orders lines of
    processes whose clocks disagree.
    """

    at: float
    event: str
    vm: str
    level: str
    stamp: tuple[int, int]
    request_id: str = ""
    fields: dict[str, object] = field(default_factory=dict)

    def show(self, start: float) -> str:
        """Return the line for people, its time counted from a start."""
        mark = "*" if self.request_id else " "
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if value not in (None, "")
        )
        return (
            f"{mark} {self.at - start:+9.3f} s  {self.vm}  {self.event}  "
            f"{shown}"
        )


def read_lines(text: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log; what is not one is passed over.

    A line may have something in front of it, as collectors of logs put.
    """
    lines = []
    for raw in text:
        begin = raw.find("{")
        if begin < 0:
            continue
        try:
            decoded = json.loads(raw[begin:])
        except ValueError:
            continue
        if isinstance(decoded, dict) and "event" in decoded:
            lines.append(_make_line(decoded))
    return lines


def explain(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Return the lines that tell what became of a request, in order.

    These are the request's own, and what the VMs that it passed learned or
    did around that time.
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    begin = min(line.at for line in own) - AROUND_SECONDS
    end = max(line.at for line in own) + AROUND_SECONDS
    names = {line.vm for line in own}
    around = [
        line
        for line in lines
        if line.vm in names
        and begin <= line.at <= end
        and not line.event.startswith((_ABOUT_REQUESTS, *_LEFT_OUT))
    ]
    # One line may stand in several of the logs that are joined.
    chosen = {
        (line.vm, line.stamp, line.event): line
        for line in [*around[:MAX_AROUND], *own]
    }
    return sorted(chosen.values(), key=lambda line: line.stamp)


def _make_line(decoded: dict) -> LogLine:
    at = float(decoded.get("at", 0.0))
    stamp = decoded.get("stamp") or [int(at * 1000), 0]
    return LogLine(
        at=at,
        event=str(decoded["event"]),
        vm=str(decoded.get("vm", "")),
        level=str(decoded.get("level", "")),
        stamp=(stamp[0], stamp[1]),
        request_id=str(decoded.get("request_id") or ""),
        fields={k: v for k, v in decoded.items() if k not in _FRAME},
    )
