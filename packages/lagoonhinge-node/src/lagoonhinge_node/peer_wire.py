"""Coding of messages between nodes, and the count of their bytes."""

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
LINE_BYTES = 32

MessageT = TypeVar("MessageT")


def pack(message: object) -> tuple[bytes, dict[str, str]]:
    """Return the body of a message and its headers; a long body is compressed."""
    body = encode(message)
    headers = {"Content-Type": JSON_TYPE}
    if len(body) >= MIN_COMPRESSED_BYTES:
        body = compress(body)
        headers["Content-Encoding"] = DEFLATE
    return body, headers


def unpack(body: bytes, encoding: str, kind: type[MessageT]) -> MessageT:
    """Return a received message; raises `BadMessage` saying what is wrong."""
    if encoding == DEFLATE:
        try:
            body = decompressobj().decompress(body, MAX_MESSAGE_BYTES)
        except error as reason:
            raise BadMessage(f"{kind.__name__}: {reason}") from reason
    return decode(body, kind)


def header_bytes(headers: Iterable[tuple[str | bytes, str | bytes]]) -> int:
    """Return the size of a message's head, with its first line."""
    return LINE_BYTES + sum(len(name) + len(value) + 4 for name, value in headers)
