"""A randomized soak test of real processes with fault injection."""
