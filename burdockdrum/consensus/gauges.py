"""Gauges that tell why a control VM takes no part, or confirms nothing."""

from burdockdrum.consensus.forwarding import Forwarding
from burdockdrum.consensus.leadership import Leadership
from burdockdrum.consensus.replica import Replica
from burdockdrum.metrics import Metrics


def add_member_gauges(
    *,
    metrics: Metrics,
    replica: Replica,
    leadership: Leadership,
    forwarding: Forwarding,
) -> None:
    """Add the gauges of one member of the log."""
    metrics.gauge(
        "burdockdrum_log_participates",
        "1 while this VM may vote and be elected, else 0.",
        lambda: replica.may_participate,
    )
    metrics.gauge(
        "burdockdrum_log_disk_stalls",
        "1 while no sync of this VM's disk ends, without an error, else 0.",
        lambda: replica.durability.is_stalled,
    )
    metrics.gauge(
        "burdockdrum_log_silent_voters",
        "Voters that acknowledge nothing to this VM while it leads.",
        lambda: len(leadership.silent_voter_ids),
    )
    metrics.gauge(
        "burdockdrum_log_elections_fail",
        "1 since an election of this VM failed until it knows a leader.",
        lambda: replica.election_failure.holds,
    )
    metrics.gauge(
        "burdockdrum_log_reads_unconfirmed",
        "1 while no leader confirms to this VM that a read is current.",
        lambda: forwarding.is_read_unconfirmed,
    )
