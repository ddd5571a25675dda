"""Durations on which the safety of leases depends.

docs/design/leases.md has a sketch of the proof. All are in seconds of the
local clock of the VM that measures them.
"""

# Validity of a lease at its holder, from before it sent the request that was
# granted.
LEASE_SECONDS = 10.0

# Renewal interval of a holder; two lost renewals in a row do no harm.
RENEW_SECONDS = 3.0

# Maximum rate error of a clock, as a fraction.
MAX_CLOCK_DRIFT = 0.01

# Timeout of an order, from the check of the lease until no endpoint can act on
# the order any more.
ORDER_SECONDS = 5.0

_MAX_CLOCK_RATE_RATIO = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)

# Time without a renewal after which the leader may grant a lease to another
# VM. A holder with the slowest clock has stopped using it by then, even if the
# leader has the fastest one.
SUPERSEDE_SECONDS = LEASE_SECONDS * _MAX_CLOCK_RATE_RATIO

# Delay before a new holder sends orders to endpoints that don't check fencing
# numbers; the orders of the former holder have ended by then.
WAIT_OUT_SECONDS = ORDER_SECONDS * _MAX_CLOCK_RATE_RATIO
