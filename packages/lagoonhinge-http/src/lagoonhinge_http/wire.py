"""Encode and decode typed messages as JSON."""

from typing import TypeVar

from msgspec import json

from lagoonhinge_core.decoding import DECODING_ERRORS

MessageT = TypeVar("MessageT")

encode = json.encode


class BadMessage(ValueError):
    """Text that cannot be decoded as the expected message."""


def decode(raw: bytes | str, message_type: type[MessageT]) -> MessageT:
    """Decode a message.

    Raises:
        BadMessage: If the text is not a valid message; its text says where.
    """
    try:
        return json.decode(raw, type=message_type)
    except DECODING_ERRORS as error:
        raise BadMessage(f"{message_type.__name__}: {error}") from error
