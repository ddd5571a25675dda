"""The policy of passed requests, played in virtual time.

The fleet and the target selection are the product's own; engines, callers and
the messages between entries are simulated here. Nothing waits on real time.
"""
