"""Models of everything that a node talks to, the same models on loopback sockets, and a checker of the rules.

The checker reads only what passed on the sockets. No module here is loaded by a node.
"""
