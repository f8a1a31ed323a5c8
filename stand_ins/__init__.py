"""Minimal stand-ins for external systems; for tests, demo and benches only."""
