"""Consul integration: registration and health of the node's service, and endpoint lists from the catalogue.

Health policy, registration and codec do no I/O; the agent client and the endpoint watcher are their I/O
adapters. The package is imported only if the operator's file has a ``[consul]`` table.
"""
