"""The ``explain`` command: trace a request through several logs."""

import pathlib
import sys

import msgspec

from burdockdrum.cli.exit_codes import EXIT_FILE
from burdockdrum.cli.exit_codes import EXIT_NOT_FOUND
from burdockdrum.logs import explain
from burdockdrum.logs import LogLine
from burdockdrum.logs import read_lines


def run_explain(request_id: str, paths: list[str], *, as_json: bool) -> int:
    """Print the trace of a request, oldest line first.

    The request's own lines are marked with a star; the others are lines
    that its VMs wrote around that time.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return EXIT_FILE
        lines += read_lines(text.splitlines())
    trace = explain(request_id, lines)
    if not trace:
        print(f"no line names request {request_id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    if as_json:
        print(msgspec.json.encode(trace).decode())
        return 0
    start = min(line.at for line in trace if line.request_id)
    for line in trace:
        print(line.format(start))
    return 0
