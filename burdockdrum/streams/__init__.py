"""Which software version began a stream, as entries tell each other."""

from burdockdrum.streams.origin import StreamOrigin

__all__ = ["StreamOrigin"]
