"""Authentication of client accounts by bearer key."""

from hashlib import sha256
from hmac import compare_digest

from lagoonhinge_core.config import Config

BEARER_PREFIX = "Bearer "


def find_account(config: Config, authorization: str) -> str | None:
    """Return the account whose key is in an `Authorization` header, if any.

    Only digests are compared, each in constant time, so that timing reveals nothing
    about a key.
    """
    if not authorization.startswith(BEARER_PREFIX):
        return None
    digest = sha256(authorization.removeprefix(BEARER_PREFIX).encode()).hexdigest()
    account = _accounts_by_digest(config).get(digest)
    if account is None:
        return None
    expected = config.accounts[account].key_sha256
    return account if compare_digest(expected, digest) else None


_INDEX_CACHE: list[tuple[Config, dict[str, str]]] = []


def _accounts_by_digest(config: Config) -> dict[str, str]:
    # Built once per configuration; a search of 21,000 accounts would be too slow.
    if _INDEX_CACHE and _INDEX_CACHE[0][0] is config:
        return _INDEX_CACHE[0][1]
    index = {account.key_sha256: name for name, account in config.accounts.items()}
    _INDEX_CACHE[:] = [(config, index)]
    return index
