"""The real render node: sockets, timers, peers and the node that drives the decision module."""
