"""Deterministic answers of the engine stand-in, which tests use as expected values."""

from hashlib import blake2b

BYTES_PER_TOKEN = 4
TOKEN_CHARACTERS = 4


def count_tokens(prompt: str) -> int:
    """Return the length of a prompt, in tokens."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def answer_token(digest: bytes, position: int) -> str:
    """Return one token of the answer to a prompt with the given digest."""
    token_digest = blake2b(position.to_bytes(8, "big"), key=digest, digest_size=2)
    return token_digest.hexdigest()[: TOKEN_CHARACTERS - 1] + " "


def prompt_digest(prompt: str, seed: int) -> bytes:
    """Return the digest that the answer depends on."""
    return blake2b(
        prompt.encode(), salt=seed.to_bytes(8, "big"), digest_size=16
    ).digest()


def whole_answer(prompt: str, max_tokens: int, seed: int) -> str:
    """Return the whole answer to a prompt."""
    digest = prompt_digest(prompt, seed)
    return "".join(answer_token(digest, position) for position in range(max_tokens))
