"""A client of the gateway with discovery and failover of entry VMs."""

from burdockdrum.client.client import ClientError
from burdockdrum.client.client import GatewayClient
from burdockdrum.client.client import GatewayReply

__all__ = ["ClientError", "GatewayClient", "GatewayReply"]
