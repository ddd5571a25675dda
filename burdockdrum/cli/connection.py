"""Create a client from command-line arguments."""

import random
from typing import Any

from burdockdrum.client import GatewayClient
from burdockdrum.system_ports import make_ssl_context
from burdockdrum.system_ports import SystemClock


def connect(arguments: dict[str, Any]) -> GatewayClient:
    """Return a client with the given entries, token and certificates."""
    return GatewayClient(
        seeds=arguments["seeds"],
        token=arguments["--token"],
        clock=SystemClock(),
        rng=random.Random(),
        ssl_context=make_ssl_context(arguments["--trust"]),
    )
