"""The logging of the daemon."""

import sys

from loguru import logger

from burdockdrum.settings.model import LogSettings

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[vm]} {message}"
)


def set_up_log(settings: LogSettings, vm_id: str) -> None:
    """Log to standard error, as text or as JSON lines."""
    logger.remove()
    logger.configure(extra={"vm": vm_id})
    if settings.format == "json":
        logger.add(
            sys.stderr, level=settings.level, serialize=True, diagnose=False
        )
    else:
        logger.add(
            sys.stderr,
            level=settings.level,
            format=_TEXT_FORMAT,
            diagnose=False,
        )
