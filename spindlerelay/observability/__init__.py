"""Observability: traces of the requests that a node receives."""
