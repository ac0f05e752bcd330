"""Plain policies in place of the decision module, to compare it with: what a node does without it."""
