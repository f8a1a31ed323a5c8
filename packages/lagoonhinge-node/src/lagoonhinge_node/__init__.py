"""The node process: listeners, adapters and controllers around the core decisions."""
