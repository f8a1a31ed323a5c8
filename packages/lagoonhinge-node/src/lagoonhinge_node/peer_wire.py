"""Encoding of messages between nodes, and their size in bytes."""

from collections.abc import Iterable
from typing import TypeVar
from zlib import compress, decompressobj, error

from lagoonhinge_http.wire import BadMessage, decode, encode

DIGEST_PATH = "/peer/digest"
CONFIG_PATH = "/peer/config"
BLOBS_PATH = "/peer/blobs"
MEMBERS_PATH = "/peer/members"
DEFLATE = "deflate"
JSON_TYPE = "application/json"
MIN_COMPRESSED_BYTES = 512
MAX_MESSAGE_BYTES = 64 << 20
FIRST_LINE_BYTES = 32  # approximate

MessageT = TypeVar("MessageT")


def encode_message(message: object) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers of a message; compress a long body."""
    body = encode(message)
    headers = {"Content-Type": JSON_TYPE}
    if len(body) >= MIN_COMPRESSED_BYTES:
        body = compress(body)
        headers["Content-Encoding"] = DEFLATE
    return body, headers


def decode_message(
    body: bytes, encoding: str, message_type: type[MessageT]
) -> MessageT:
    """Return a received message.

    Raises:
        BadMessage: If the body cannot be decompressed or decoded.
    """
    if encoding == DEFLATE:
        try:
            body = decompressobj().decompress(body, MAX_MESSAGE_BYTES)
        except error as reason:
            raise BadMessage(f"{message_type.__name__}: {reason}") from reason
    return decode(body, message_type)


def header_bytes(headers: Iterable[tuple[str | bytes, str | bytes]]) -> int:
    """Return the size of a message's headers and first line, in bytes."""
    return FIRST_LINE_BYTES + sum(len(name) + len(value) + 4 for name, value in headers)
