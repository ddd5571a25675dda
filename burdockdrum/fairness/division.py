"""Divide the engine time of a service among ranks, and each among teams."""

from collections.abc import Mapping
from dataclasses import dataclass

from burdockdrum.fairness.shares import max_min_shares
from burdockdrum.registrations import Work
from burdockdrum.registrations import WorkByKey
from burdockdrum.registrations import WorkKey

# A team whose demand exceeds its share by less is within it: demands are
# averages of few requests, and reports are some tenths of a second old.
SHARE_TOLERANCE = 0.1


@dataclass(frozen=True, kw_only=True)
class TeamShare:
    """What a team may use; work is in microseconds of an engine a second."""

    requested: float
    served: float
    share: float

    @property
    def is_exceeded(self) -> bool:
        """Return whether the team requests more than its share."""
        return self.requested > self.share * (1 + SHARE_TOLERANCE)

    @property
    def admitted_fraction(self) -> float:
        """Return the fraction of the requests to admit."""
        if not self.is_exceeded:
            return 1.0
        return self.share / self.requested


def divide_work(
    work_by_key: WorkByKey, weights: Mapping[str, float]
) -> dict[WorkKey, TeamShare]:
    """Return the share of each team in each rank of each service.

    The capacity of a service is the work that its endpoints served lately,
    so that no engine's speed has to be known. A rank may use all of it but
    what more urgent ranks used.

    :param weights: by team
    """
    work_by_rank: dict[tuple[str, int], dict[str, Work]] = {}
    for key, work in work_by_key.items():
        teams = work_by_rank.setdefault((key.service, key.rank), {})
        teams[key.team] = work
    shares: dict[WorkKey, TeamShare] = {}
    capacity_by_service: dict[str, int] = {}
    for service, rank in sorted(work_by_rank, reverse=True):
        work_by_team = work_by_rank[service, rank]
        capacity = capacity_by_service.get(service, 0)
        capacity += sum(work.served for work in work_by_team.values())
        capacity_by_service[service] = capacity
        demands = {
            team: float(work.requested) for team, work in work_by_team.items()
        }
        for team, share in max_min_shares(demands, weights, capacity).items():
            work = work_by_team[team]
            shares[WorkKey(service, rank, team)] = TeamShare(
                requested=work.requested, served=work.served, share=share
            )
    return shares
