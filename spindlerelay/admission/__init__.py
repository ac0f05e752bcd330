"""Admission control: decides which requests are queued, run or rejected and which dependency calls are made.

The package is pure: it does no I/O and reads no clock.
"""
