"""The command-line tool for operators and callers."""

__all__: list[str] = []
