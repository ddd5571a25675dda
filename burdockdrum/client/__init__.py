"""A client of the gateway: it finds entry VMs and moves on when one dies."""

from burdockdrum.client.client import ClientError
from burdockdrum.client.client import GatewayClient
from burdockdrum.client.client import GatewayReply

__all__ = ["ClientError", "GatewayClient", "GatewayReply"]
