"""Helpers of the step files."""
