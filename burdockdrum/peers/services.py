"""Register the services of this package with the kernel."""

import pathlib
import random

from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers.authentication import PayloadAuthenticator
from burdockdrum.peers.identity import VmIdentity
from burdockdrum.peers.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.ports import Mailbox
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline


def add_services(kernel: Kernel) -> None:
    """Register the messaging service and its authentication."""
    kernel.add("seal", _build_authenticator)
    kernel.add("peers", _build_peers)


def _build_authenticator(kernel: Kernel) -> PayloadAuthenticator:
    cluster = kernel.find("settings", Settings).cluster
    if cluster.secret_file is not None:
        return PayloadAuthenticator(
            secret=pathlib.Path(cluster.secret_file).read_bytes()
        )
    return PayloadAuthenticator(secret=(cluster.secret or "").encode())


def _build_peers(kernel: Kernel) -> Peers:
    return Peers(
        identity=kernel.find("identity", VmIdentity),
        mailbox=kernel.find("mailbox", Mailbox),
        clock=kernel.find("clock", Clock),
        hybrid_clock=kernel.find("timeline", Timeline).clock,
        rng=kernel.find("random", random.Random),
        authenticator=kernel.find("seal", PayloadAuthenticator),
        metrics=kernel.find("metrics", Metrics),
    )
