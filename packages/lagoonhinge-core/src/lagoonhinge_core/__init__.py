"""Sans-IO decisions: without sockets, event loop, wall clock or global randomness."""
