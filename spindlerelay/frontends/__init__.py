"""Front ends of the node: servers for the protocols of balancers and of operators' tools."""
