"""Emulated servers and clients on loopback sockets, on the project's own event loop.

The behaviour is in ``testbed.models``; the modules of this package only map the models to the protocols. They
must not import the packages that drive an emulation.
"""
