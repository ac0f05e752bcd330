"""The load generator: open-loop arrivals, workers that send requests, and the outcome of each request."""
