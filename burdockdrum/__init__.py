"""A multi-region inference gateway and the coordination parts it uses."""

__all__: list[str] = []
