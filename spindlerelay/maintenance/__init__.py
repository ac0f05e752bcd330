"""Maintenance leases: the nodes agree among themselves which of them may be out of service at the same time.

The feature is disabled unless the operator's file has a ``[maintenance]`` table.
"""
