"""The times on which the safety of leases rests.

docs/design/leases.md sketches the proof. All are seconds of the clock of
the VM that counts them.
"""

# How long a holder may believe in its lease, counted from before it sent
# the request that was answered.
LEASE_SECONDS = 10.0

# How often a holder renews: two renewals in a row may be lost.
RENEW_SECONDS = 3.0

# By how much a clock may run fast or slow, as a part of one.
MAX_CLOCK_DRIFT = 0.01

# The longest that an order may take from the check of the lease until no
# endpoint can act on it any more. The holder's timeout on each order.
ORDER_SECONDS = 5.0

_WORST_RATIO = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)

# How long the leader waits after the last renewal, or after it took over,
# until it grants to another: a holder whose clock is slow has stopped even
# if the leader's is fast.
SUPERSEDE_SECONDS = LEASE_SECONDS * _WORST_RATIO

# How long a new holder waits before it gives an order to an endpoint that
# does not check fencing numbers: the last order before has ended by then.
WAIT_OUT_SECONDS = ORDER_SECONDS * _WORST_RATIO
