"""Errors of decoding what another program wrote."""

from msgspec import DecodeError

# A value that is nested too deeply raises `RecursionError`, also in a field that the
# decoded type does not have.
DECODING_ERRORS = (DecodeError, UnicodeError, RecursionError)
