"""Trace one request through the logs of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import json

# Time before and after a request for which other lines of its VMs are kept.
CONTEXT_SECONDS = 3.0
MAX_CONTEXT_LINES = 40
_REQUEST_EVENT_PREFIX = "request."
# Lines about the log itself are frequent and say nothing about a request.
_EXCLUDED_EVENT_PREFIXES = ("log.",)
_STANDARD_FIELDS = frozenset(
    {"at", "level", "event", "vm", "stamp", "request_id"}
)


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log.

    ``at`` is the process's wall time in seconds; ``stamp`` orders the lines
    of processes whose clocks disagree.
    """

    at: float
    event: str
    vm: str
    level: str
    stamp: tuple[int, int]
    request_id: str = ""
    fields: dict[str, object] = field(default_factory=dict)

    def format(self, start: float) -> str:
        """Return the line as text, with its time relative to a start."""
        marker = "*" if self.request_id else " "
        fields_text = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if value not in (None, "")
        )
        return (
            f"{marker} {self.at - start:+9.3f} s  {self.vm}  {self.event}  "
            f"{fields_text}"
        )


def read_lines(text: Iterable[str]) -> list[LogLine]:
    """Parse the lines of a log, skipping what is not a log line.

    Text before the JSON object, as added by log collectors, is ignored.
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
    """Return the lines that trace a request, in order.

    These are the request's own lines, and other lines that its VMs wrote
    around that time.
    """
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        return []
    begin = min(line.at for line in request_lines) - CONTEXT_SECONDS
    end = max(line.at for line in request_lines) + CONTEXT_SECONDS
    names = {line.vm for line in request_lines}
    context = [
        line
        for line in lines
        if line.vm in names
        and begin <= line.at <= end
        and not line.event.startswith(
            (_REQUEST_EVENT_PREFIX, *_EXCLUDED_EVENT_PREFIXES)
        )
    ]
    # The logs may overlap: drop duplicates.
    chosen = {
        (line.vm, line.stamp, line.event): line
        for line in [*context[:MAX_CONTEXT_LINES], *request_lines]
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
        fields={k: v for k, v in decoded.items() if k not in _STANDARD_FIELDS},
    )
