"""Stand-ins of the review: balancers, interpreter, store and announce service, by the protocol page."""
