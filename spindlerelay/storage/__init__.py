"""State that outlives a process: completed requests, learned state, and claims on keyed requests."""
