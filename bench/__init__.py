"""Load and experiment tools; see README.md."""
