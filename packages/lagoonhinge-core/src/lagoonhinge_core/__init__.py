"""Sans-IO decisions: no sockets, no event loop, no wall clock, no global randomness."""
