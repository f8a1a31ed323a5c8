"""Load and cost measurements; each prints figures of one run."""
