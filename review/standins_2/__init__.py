"""Stand-ins for what surrounds a render node, written from the users' pages for the second review."""
