"""A message service for tests, without the other services of a VM."""

import random

from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Mailbox
from burdockdrum.timeline import HybridClock


def make_peers(
    *,
    vm_id: str,
    mailbox: Mailbox,
    clock: Clock,
    secret: bytes = b"secret of a test",
    metrics: Metrics | None = None,
    incarnation: int = 1,
    region: str = "region",
    rng: random.Random | None = None,
) -> Peers:
    """Return a message service with the identity of a test VM."""
    return Peers(
        identity=VmIdentity(
            vm_id=vm_id,
            incarnation=incarnation,
            region=region,
            data_centre="data-centre",
            control_address=mailbox.address,
            http_address="http://127.0.0.1:1",
        ),
        mailbox=mailbox,
        clock=clock,
        hybrid_clock=HybridClock(clock=clock),
        rng=rng or random.Random(2),
        authenticator=PayloadAuthenticator(secret=secret),
        metrics=metrics or Metrics(),
    )
