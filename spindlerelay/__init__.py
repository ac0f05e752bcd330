"""spindlerelay: a render node with built-in overload control, its command line and its testbed."""

__version__ = "0.2.0"
