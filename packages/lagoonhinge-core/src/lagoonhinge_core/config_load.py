"""Merging of the base file with a site's overlay, and checks of the whole."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from tomllib import TOMLDecodeError, loads
from typing import Any

from msgspec import json
from returns.result import Failure, Result, Success

from lagoonhinge_core.config import Config, UpstreamMode
from lagoonhinge_core.config_cross import cross_errors
from lagoonhinge_core.config_decode import ConfigError, KeyPath, TableDecoder

BASE_FILE = "base.toml"


@dataclass(frozen=True)
class ConfigSource:
    """The configuration as written, and the upstreams that operators drained.

    Attributes:
        base: Text of the base file.
        sites: Text of the overlay by site name.
        drained: Upstreams drained by command; kept when files are applied again.
    """

    base: str
    sites: dict[str, str]
    drained: tuple[str, ...] = ()

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
        decoder.errors.extend(cross_errors(config))
    if decoder.errors:
        return Failure(
            tuple(
                ConfigError(_origin(origins, e.path), ".".join(e.path), e.reason)
                for e in decoder.errors
            )
        )
    return Success(_with_drained(config, source.drained))


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


def _with_drained(config: Config, drained: tuple[str, ...]) -> Config:
    # A drained name without an upstream is one that was removed since.
    upstreams = dict(config.upstreams)
    for name in drained:
        if name in upstreams:
            upstreams[name] = replace(upstreams[name], mode=UpstreamMode.DRAINING)
    return replace(config, upstreams=upstreams)
