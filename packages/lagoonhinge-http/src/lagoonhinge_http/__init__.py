"""HTTP client code shared by the node and the command line."""
