"""A simulation of the policy for proxied requests in virtual time.

It runs the product's fleet and target selection; engines, callers and the
messages between entries are simulated.
"""
