"""Emulated machines, stores, balancers and traffic, without I/O and without a clock.

The caller advances each model by passing it a time in ms and events, so that the same model runs behind real
sockets and in virtual time. The package must not import sockets, the clock or the packages that drive the
models.
"""
