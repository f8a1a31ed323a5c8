"""Small stand-ins for the outside systems, for tests, demo and benches only."""
