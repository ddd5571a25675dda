"""Tell what became of a request from the logs of several processes."""

import pathlib
import sys

import msgspec

from burdockdrum.cli.exit_codes import EXIT_FILE
from burdockdrum.cli.exit_codes import EXIT_NOT_FOUND
from burdockdrum.logs import explain
from burdockdrum.logs import LogLine
from burdockdrum.logs import read_lines


def run_explain(request_id: str, paths: list[str], *, as_json: bool) -> int:
    """Print the story of a request, oldest first.

    Lines about the request itself are marked with a star; the others say
    what its VMs learned or did around that time.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return EXIT_FILE
        lines += read_lines(text.splitlines())
    story = explain(request_id, lines)
    if not story:
        print(f"no line names request {request_id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    if as_json:
        print(msgspec.json.encode(story).decode())
        return 0
    start = min(line.at for line in story if line.request_id)
    for line in story:
        print(line.show(start))
    return 0
