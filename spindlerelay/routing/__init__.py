"""Library for balancers: client-side load balancing over many endpoints, from few and stale observations.

Pure: no I/O, no clock. ``load_balancer`` combines the other modules; each module can also be used alone.
"""
