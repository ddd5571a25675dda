"""A VM that passes requests through, without the OpenAI-style faces."""

from burdockdrum.gateway.assembly import assemble
from burdockdrum.gateway.process import Gateway

__all__ = ["assemble", "Gateway"]
