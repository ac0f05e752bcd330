"""Reports and plots of what was played; loaded by no node and no drill."""
