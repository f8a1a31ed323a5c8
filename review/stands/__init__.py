"""Stand-ins for the cases of the second review, with the standard library only."""
