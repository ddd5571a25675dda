"""Log lines of the requests of violations."""

from collections.abc import Iterable
import pathlib
import re

MAX_LINES = 200
MAX_LINE_CHARACTERS = 600
# Decisions of a process that are about more than one request.
BELIEFS = ("request.quarantined", "request.cleared", "endpoint.crashed")
# Events of control VMs that tell why the configuration doesn't change.
_CONTROL_EVENT = re.compile(
    r'"level":"ERROR"|"event":"(leader\.|log\.|configuration\.(refused|not_))'
)
_CONTROL_WORDS = re.compile(r"\b(version|changes|control)\b")


def list_related(folder: pathlib.Path, violations: Iterable[str]) -> list[str]:
    """Return log lines of the requests in violations, in order of time.

    Violations that are about the configuration add what control VMs decided.
    """
    text = " ".join(violations)
    ids = set(re.findall(r"\br[0-9]+\b", text))
    is_control = bool(_CONTROL_WORDS.search(text))
    words = [f'"{word}"' for word in (*ids, *BELIEFS)]
    related = [
        line[:MAX_LINE_CHARACTERS]
        for path in folder.glob("*.log")
        for line in path.read_text(errors="replace").splitlines()
        if any(word in line for word in words)
        or (is_control and _CONTROL_EVENT.search(line))
    ]
    return sorted(related)[:MAX_LINES]
