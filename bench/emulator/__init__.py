"""Emulator of model engines and nodes in virtual time."""
