"""The table row of the accepted configuration, and the object names of its blobs."""

from dataclasses import dataclass

CONFIG_KEY = "config/current"
MAX_RECENT_CHANGES = 16


@dataclass(frozen=True)
class AcceptedConfig:
    """Content of the row.

    Attributes:
        version: The row's own version after the write, so it increases by one.
        digest: SHA-256 of the manifest, the blob that refers to all others.
        change: Identity of the change, to detect whether a write was applied although
            its reply was lost.
        author: Who accepted it.
        recent: Identities of the changes before this one, newest first.
    """

    version: int
    digest: str
    change: str
    author: str
    recent: tuple[str, ...] = ()

    def follows(self, other: "AcceptedConfig") -> bool | None:
        """Return whether `other` was accepted before this; `None` if unknown."""
        recent_index = self.version - other.version - 1
        if recent_index < 0:
            return False
        if recent_index < len(self.recent):
            return self.recent[recent_index] == other.change
        return None


def next_config(
    current: AcceptedConfig | None, digest: str, change: str, author: str
) -> AcceptedConfig:
    """Return the content of the row that replaces `current`."""
    if current is None:
        return AcceptedConfig(1, digest, change, author)
    recent = (current.change, *current.recent)[:MAX_RECENT_CHANGES]
    return AcceptedConfig(current.version + 1, digest, change, author, recent)


def blob_name(digest: str) -> str:
    """Return the object name of a blob."""
    return f"config/{digest}"
