"""Machines out for work, in an order that the nodes settle among themselves. Off unless the operator's file
has ``[maintenance]``."""
