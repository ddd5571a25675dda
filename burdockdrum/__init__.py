"""A multi-region inference gateway and its coordination services."""

__all__: list[str] = []
