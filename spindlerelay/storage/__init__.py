"""Storage that outlives a process but not the machine: claims that processes of one node share."""
