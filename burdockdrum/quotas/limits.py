"""How much of a team's demand fits its limit, by what is known of its use."""

from dataclasses import dataclass

from burdockdrum.resources import RateLimit

# Sums of what was used are short, as they are told late already; those of
# what is asked for are long enough for a few large requests.
USED_SECONDS = 0.3
ASKED_SECONDS = 0.7
# A burst that is smaller is used up before entries hear of each other.
MIN_BURST_SECONDS = 0.5
# What is left of a burst may be used up within so long.
SPEND_SECONDS = 0.4
# What was used beyond a burst is made up for within so long, and some may
# pass all the while: refusing all and nothing by turns serves nobody.
REPAY_SECONDS = 2.0
MIN_PASSING_PART = 0.25
# A team that asks for so much of its limit may be beyond it soon.
NEAR_PART = 0.7


@dataclass(frozen=True, kw_only=True)
class Known:
    """What is known of a team's use by all VMs together.

    ``used`` and ``asked`` are rates, in the limit's unit a second.
    ``drawn`` is what was used of the burst. ``unheard`` is the part of the
    limit that data centres may use which are not heard. ``age`` is how many
    seconds ago the others were heard, None if never.
    """

    used: float
    asked: float
    drawn: float = 0.0
    unheard: float = 0.0
    age: float | None = None


def burst_of(limit: RateLimit) -> float:
    """Return what may be used at once, in the limit's unit."""
    return max(limit.burst, limit.per_second * MIN_BURST_SECONDS)


def draw_on(
    limit: RateLimit, drawn: float, used: float, unheard: float, seconds: float
) -> float:
    """Return what is used of a burst after a while at a rate of use."""
    rate = limit.per_second * (1 - unheard)
    return max(0.0, drawn + (used - rate) * seconds)


def passing_part(limit: RateLimit, known: Known) -> float:
    """Return the part of what is asked for that may begin, 0 to 1.

    Each entry lets the same part through. So no entry needs a share of its
    own, and demand that moves between regions keeps its room.
    """
    heard = 1 - known.unheard
    rate = limit.per_second * heard
    # The last of what began is not in the drawn part yet.
    recent = max(0.0, known.used - rate) * USED_SECONDS
    room = burst_of(limit) * heard - known.drawn - recent
    if room >= 0:
        allowed = rate + room / SPEND_SECONDS
    else:
        least = rate * MIN_PASSING_PART
        allowed = max(least, rate + room / REPAY_SECONDS)
    return 1.0 if known.asked <= allowed else allowed / known.asked


def is_near(limit: RateLimit, known: Known) -> bool:
    """Say whether a team may soon have to be held to its limit."""
    return known.drawn > 0 or known.asked > limit.per_second * NEAR_PART


def seconds_until_room(limit: RateLimit, known: Known) -> float:
    """Return when a request fits, if others ask as they do now."""
    heard = max(1 - known.unheard, 1e-3)
    rate = limit.per_second * heard
    over = max(0.0, known.drawn - burst_of(limit) * heard)
    # Of those that ask together, so many go first on average.
    crowd = max(0.0, known.asked / rate - 1) * ASKED_SECONDS
    return over / rate + crowd
