"""Experiments: matrices of runs, and comparisons of pairs with the same stream."""
