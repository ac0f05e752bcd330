"""Model checkers, which explore every order of events of code without I/O.

The package must not depend on the network, on processes or on the machine's clock.
"""
