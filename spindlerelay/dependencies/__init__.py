"""Calls from one node to several dependencies: routing, queueing, limits, retries and fallbacks.

``call_scheduler`` turns events into actions. It combines the other modules, each of which makes one kind of
decision without I/O and without reading a clock. ``connection_pool`` runs the scheduler on the event loop,
and ``metrics`` publishes the scheduler's metrics.
"""
