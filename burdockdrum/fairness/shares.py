"""Max-min fair shares of a capacity, by weights.

The capacity is poured evenly, by weight, over all demands; a demand that is
met takes no more, and the rest goes to the others.
"""

from collections.abc import Mapping


def max_min_shares(
    demands: Mapping[str, float],
    weights: Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return the part of a capacity that each team may use.

    All are in the same unit. A team's share is its demand if that is below
    the fair level of its weight, else the fair level. The shares add up to
    the demands or to the capacity, whichever is less.

    :param demands: by team; negative ones count as 0
    :param weights: by team, positive; 1 for a team without one
    """
    left = max(0.0, capacity)
    weight_left = sum(weights.get(team, 1.0) for team in demands)
    shares: dict[str, float] = {}
    for team in sorted(
        demands, key=lambda team: demands[team] / weights.get(team, 1.0)
    ):
        weight = weights.get(team, 1.0)
        # Rounding may leave less than the weight of the last team.
        fair = left * weight / max(weight, weight_left)
        share = min(max(0.0, demands[team]), fair)
        shares[team] = share
        left = max(0.0, left - share)
        weight_left -= weight
    return shares
