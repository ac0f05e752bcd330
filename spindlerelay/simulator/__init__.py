"""Binary protocol of the simulator, and the host that runs admission controllers behind it."""
