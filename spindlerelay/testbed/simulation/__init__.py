"""A cluster in virtual time: one thread, a network whose delays a seed draws, simulated node processes.

Must not depend on the machine's clock, sockets or processes.
"""
