"""JSON on the wire: one place for encoding and decoding typed messages."""

from typing import TypeVar

from msgspec import DecodeError, ValidationError, json

MessageT = TypeVar("MessageT")

encode = json.encode


class BadMessage(ValueError):
    """Text that is not the expected message."""


def decode(raw: bytes | str, kind: type[MessageT]) -> MessageT:
    """Return a message, or raise `BadMessage` saying where it is wrong."""
    try:
        return json.decode(raw, type=kind)
    except (ValidationError, DecodeError) as error:
        raise BadMessage(f"{kind.__name__}: {error}") from error
