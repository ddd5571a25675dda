"""Make a client from the command line."""

import random
import ssl
from typing import Any

from burdockdrum.client import GatewayClient
from burdockdrum.system_ports import SystemClock


def connect(arguments: dict[str, Any]) -> GatewayClient:
    """Return a client for the entries, token and trust that were named."""
    context: ssl.SSLContext | None = None
    if arguments["--trust"]:
        context = ssl.create_default_context(cafile=arguments["--trust"])
    return GatewayClient(
        seeds=arguments["seeds"],
        token=arguments["--token"],
        clock=SystemClock(),
        rng=random.Random(),
        ssl_context=context,
    )
