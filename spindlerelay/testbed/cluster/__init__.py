"""Clusters of real nodes among emulated peers (balancers, machines, stores), in one process or in several."""
