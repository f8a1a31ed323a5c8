"""HTTP plumbing shared by the node and the command line."""
