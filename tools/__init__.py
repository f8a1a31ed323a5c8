"""Developer commands: the demo and the feature runner."""
