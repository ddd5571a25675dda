"""Text formatting of tables and events."""

import datetime

from burdockdrum.timeline import Event


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return a table with aligned columns, the header first."""
    lines = [header, *rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_event(event: Event) -> str:
    """Return an event as one line."""
    event_time = datetime.datetime.fromtimestamp(
        event.stamp.wall_ms / 1000, datetime.UTC
    )
    subject = event.request_id or ""
    if event.revision is not None:
        subject = f"revision {event.revision}"
    details = " ".join(
        f"{name}={value}" for name, value in event.details.items()
    )
    time = event_time.strftime("%H:%M:%S.%f")[:-3]
    return (
        f"{time}+{event.stamp.counter} {event.process} {event.name} "
        f"{subject} {details}"
    ).rstrip()
