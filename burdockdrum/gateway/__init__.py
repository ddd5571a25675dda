"""A pass-through VM, without the OpenAI-compatible API."""

from burdockdrum.gateway.assembly import assemble
from burdockdrum.gateway.process import Gateway

__all__ = ["assemble", "Gateway"]
