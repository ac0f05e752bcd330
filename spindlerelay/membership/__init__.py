"""Group membership among nodes: failure detection, gossip and load weights.

``failure_detector`` and ``load_weights`` do no I/O and read no clock; ``udp_transport`` runs them on the
event loop. The package is imported only if the operator's file has a ``[membership]`` table.
"""
