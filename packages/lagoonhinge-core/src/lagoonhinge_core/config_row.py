"""The table row that names the accepted configuration, and its blob's name."""

from dataclasses import dataclass

CONFIG_KEY = "config/current"
MAX_RECENT_CHANGES = 16


@dataclass(frozen=True)
class AcceptedConfig:
    """Content of the row.

    Attributes:
        version: The row's own version after the write, so it grows by one.
        digest: SHA-256 of the manifest, the blob that leads to all others.
        change: Identity of the change, to settle a lost reply.
        author: Who accepted it.
        recent: Identities of the changes before this one, the newest first.
    """

    version: int
    digest: str
    change: str
    author: str
    recent: tuple[str, ...] = ()

    def follows(self, other: "AcceptedConfig") -> bool | None:
        """Return whether `other` was accepted before this; `None` if unknown."""
        age = self.version - other.version - 1
        if age < 0:
            return False
        if age < len(self.recent):
            return self.recent[age] == other.change
        return None


def next_config(
    current: AcceptedConfig | None, digest: str, change: str, author: str
) -> AcceptedConfig:
    """Return the content of the row that would replace `current`."""
    if current is None:
        return AcceptedConfig(1, digest, change, author)
    recent = (current.change, *current.recent)[:MAX_RECENT_CHANGES]
    return AcceptedConfig(current.version + 1, digest, change, author, recent)


def blob_name(digest: str) -> str:
    """Return the object's name for a blob."""
    return f"config/{digest}"
