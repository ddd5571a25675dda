"""Log lines of the requests of violations."""

from collections.abc import Iterable
import pathlib
import re

MAX_LINES = 200
MAX_LINE_CHARACTERS = 600
# Decisions of a process that are about more than one request.
BELIEFS = ("request.quarantined", "request.cleared", "endpoint.crashed")


def list_related(folder: pathlib.Path, violations: Iterable[str]) -> list[str]:
    """Return log lines of the requests in violations, in order of time."""
    ids = set(re.findall(r"\br[0-9]+\b", " ".join(violations)))
    words = [f'"{word}"' for word in (*ids, *BELIEFS)]
    related = [
        line[:MAX_LINE_CHARACTERS]
        for path in folder.glob("*.log")
        for line in path.read_text(errors="replace").splitlines()
        if any(word in line for word in words)
    ]
    return sorted(related)[:MAX_LINES]
