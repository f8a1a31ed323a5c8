"""The table row that names the accepted configuration, and its blob's name."""

from dataclasses import dataclass

CONFIG_KEY = "config/current"


@dataclass(frozen=True)
class AcceptedConfig:
    """Content of the row.

    Attributes:
        version: The row's own version after the write, so it grows by one.
        digest: SHA-256 of the blob.
        change: Identity of the change, to settle a lost reply.
        author: Who accepted it.
    """

    version: int
    digest: str
    change: str
    author: str


@dataclass(frozen=True)
class KnownConfig:
    """A configuration that a node can hand to its peers.

    Attributes:
        accepted: Version and digest.
        blob: Content of the object.
    """

    accepted: AcceptedConfig
    blob: bytes


def blob_name(digest: str) -> str:
    """Return the object's name for a blob."""
    return f"config/{digest}"
