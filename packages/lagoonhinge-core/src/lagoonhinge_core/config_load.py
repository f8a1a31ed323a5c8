"""Merging of the base file with a site's overlay, and checks of the whole."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from hashlib import sha256
from tomllib import TOMLDecodeError, loads
from typing import Any

from msgspec import json
from returns.result import Failure, Result, Success

from lagoonhinge_core.config import Config, ModelService
from lagoonhinge_core.config_decode import ConfigError, KeyPath, TableDecoder

BASE_FILE = "base.toml"


@dataclass(frozen=True)
class ConfigSource:
    """The configuration as written: the text of the base file and of each overlay.

    Attributes:
        base: Text of the base file.
        sites: Text of the overlay by site name.
    """

    base: str
    sites: dict[str, str]

    def encode(self) -> bytes:
        """Return the source as the blob kept in the object store."""
        return json.encode(self, order="sorted")

    def digest(self) -> str:
        """Return the SHA-256 of the blob, in hexadecimal."""
        return sha256(self.encode()).hexdigest()


def decode_source(blob: bytes) -> ConfigSource:
    """Return the source kept in a blob; anything else is a broken invariant."""
    return json.decode(blob, type=ConfigSource)


def overlay_file(site: str) -> str:
    """Return the file name of a site's overlay."""
    return f"sites/{site}.toml"


def load_site(
    source: ConfigSource, site: str
) -> Result[Config, tuple[ConfigError, ...]]:
    """Merge, decode and check the configuration of one site.

    Args:
        source: Text of all files.
        site: Name of the site; one without overlay uses the base file alone.

    Returns:
        The configuration, or every error found.
    """
    texts = {BASE_FILE: source.base}
    if site in source.sites:
        texts[overlay_file(site)] = source.sites[site]
    merged: dict[str, Any] = {}
    origins: dict[KeyPath, str] = {}
    syntax_errors: list[ConfigError] = []
    for file, text in texts.items():
        try:
            table = loads(text)
        except TOMLDecodeError as error:
            syntax_errors.append(ConfigError(file, "(syntax)", str(error)))
            continue
        _merge(merged, table, file, (), origins)
    if syntax_errors:
        return Failure(tuple(syntax_errors))
    decoder = TableDecoder()
    config = decoder.decode(Config, merged, ())
    if config is not None:
        for path, reason in _dangling_names(config):
            decoder.reject(path, reason)
    if decoder.errors:
        return Failure(
            tuple(
                ConfigError(_origin(origins, e.path), ".".join(e.path), e.reason)
                for e in decoder.errors
            )
        )
    return Success(config)


def check_source(source: ConfigSource) -> tuple[ConfigError, ...]:
    """Return the errors of every site, each once."""
    found: dict[ConfigError, None] = {}
    for site in sorted(source.sites) or [""]:
        match load_site(source, site):
            case Failure(errors):
                found.update(dict.fromkeys(errors))
    return tuple(found)


def _merge(
    into: dict[str, Any],
    table: Mapping[str, Any],
    file: str,
    path: KeyPath,
    origins: dict[KeyPath, str],
) -> None:
    for key, value in table.items():
        here = (*path, key)
        origins[here] = file
        if isinstance(value, dict):
            old = into.get(key)
            into[key] = child = old if isinstance(old, dict) else {}
            _merge(child, value, file, here, origins)
        else:
            into[key] = value


def _origin(origins: dict[KeyPath, str], path: KeyPath) -> str:
    # A missing key has no origin of its own; its table's file is the place to look.
    for length in range(len(path), 0, -1):
        if path[:length] in origins:
            return origins[path[:length]]
    return BASE_FILE


def _dangling_names(config: Config) -> Iterator[tuple[KeyPath, str]]:
    for name, service in config.services.items():
        if isinstance(service, ModelService) and service.model not in config.models:
            yield ("services", name, "model"), f"no model {service.model!r}"
    for name, upstream in config.upstreams.items():
        if upstream.service not in config.services:
            yield ("upstreams", name, "service"), f"no service {upstream.service!r}"
        if upstream.zone not in config.zones:
            yield ("upstreams", name, "zone"), f"no zone {upstream.zone!r}"
        service_of = config.services.get(upstream.service)
        if isinstance(service_of, ModelService) and upstream.kv_tokens == 0:
            yield ("upstreams", name, "kv_tokens"), "must be set for a model engine"
    for name in config.desired:
        if not isinstance(config.services.get(name), ModelService):
            yield ("desired", name), f"no model service {name!r}"
    seen: dict[str, str] = {}
    for name, account in config.accounts.items():
        other = seen.setdefault(account.key_sha256, name)
        if other != name:
            yield ("accounts", name, "key_sha256"), f"is also the key of {other!r}"
