"""The operators' and callers' command-line tool."""

__all__: list[str] = []
