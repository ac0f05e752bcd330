"""Clients of a node's backends: the interpreter, the shared store and the announce service."""
