"""Names of prompt prefixes, as engines use them in cache events."""

from hashlib import blake2b

BLOCK_BYTES = 1024
NAME_BYTES = 8


def prefix_names(prompt: bytes, max_blocks: int | None = None) -> tuple[str, ...]:
    """Return the name of each prefix of a prompt that is a whole number of blocks.

    Args:
        prompt: The prompt in UTF-8.
        max_blocks: Longest prefix wanted, in blocks; `None` for all.

    Returns:
        Names, the shortest prefix first; equal prefixes have equal names.
    """
    blocks = len(prompt) // BLOCK_BYTES
    if max_blocks is not None:
        blocks = min(blocks, max_blocks)
    digest = blake2b(digest_size=NAME_BYTES)
    names: list[str] = []
    for number in range(blocks):
        digest.update(prompt[number * BLOCK_BYTES : (number + 1) * BLOCK_BYTES])
        names.append(digest.hexdigest())
    return tuple(names)
