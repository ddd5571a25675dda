"""Run one VM of the gateway.

Usage:
  burdockdrumd --settings FILE
  burdockdrumd --check --settings FILE
  burdockdrumd (-h | --help)
  burdockdrumd --version

Options:
  --settings FILE  The TOML settings; see docs/reference/settings.md.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 after a drain or a good check, 64 for a wrong command line,
70 when a part failed (the log says which), 78 for settings that can't be
used.

Examples:
  burdockdrumd --check --settings entry-1.toml
  burdockdrumd --settings entry-1.toml
"""

import importlib.metadata
import pathlib
import sys

from docopt import docopt
from loguru import logger
import uvloop

from burdockdrum.consensus import CorruptLog
from burdockdrum.daemon.daemon import Daemon
from burdockdrum.daemon.logging_setup import set_up_log
from burdockdrum.ports import DiskError
from burdockdrum.settings import load_settings
from burdockdrum.settings import Settings
from burdockdrum.settings import SettingsError

EXIT_FAILED = 70
EXIT_SETTINGS = 78
# Their message tells the operator what to do, so no traceback is logged.
_OPERATOR_ERRORS = (CorruptLog, DiskError)


async def _run(settings: Settings) -> None:
    await Daemon(settings=settings).run()


def report_failure(group: BaseExceptionGroup) -> None:
    """Log why services of the daemon failed."""
    operator_errors, unexpected = group.split(_OPERATOR_ERRORS)
    if operator_errors is not None:
        for error in _flatten(operator_errors):
            logger.error("{}", error)
    if unexpected is not None:
        logger.opt(exception=unexpected).error(
            "a service of the daemon failed"
        )


def _flatten(error: BaseException) -> list[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for member in error.exceptions for leaf in _flatten(member)]


def _version() -> str:
    try:
        return importlib.metadata.version("burdockdrum")
    except importlib.metadata.PackageNotFoundError:
        return "not installed"


def main() -> int:
    """Run the daemon.

    :returns: the exit code
    """
    arguments = docopt(__doc__, version=_version())
    try:
        settings = load_settings(pathlib.Path(arguments["--settings"]))
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    if arguments["--check"]:
        print("the settings are good")
        return 0
    set_up_log(settings.log, settings.vm.id)
    try:
        uvloop.run(_run(settings))
    except BaseExceptionGroup as group:
        report_failure(group)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
