"""Merging of the base file with a site's overlay, and checks of the result."""

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
    """The configuration files, and the upstreams that operators drained.

    Attributes:
        base: Text of the base file.
        sites: Text of the overlay by site name.
        drained: Upstreams drained by command; unchanged by applying files again.
    """

    base: str
    sites: dict[str, str]
    drained: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the source as a blob for the object store."""
        return json.encode(self, order="sorted")

    def digest(self) -> str:
        """Return the SHA-256 of the blob, in hexadecimal."""
        return sha256(self.encode()).hexdigest()


def decode_source(blob: bytes) -> ConfigSource:
    """Return the source in a blob, which must come from `ConfigSource.encode`."""
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
        site: Name of the site; one without an overlay uses only the base file.

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
                ConfigError(_origin_file(origins, e.path), ".".join(e.path), e.reason)
                for e in decoder.errors
            )
        )
    return Success(_with_drained(config, source.drained))


def check_source(source: ConfigSource) -> tuple[ConfigError, ...]:
    """Return the errors of every site, each once."""
    unique: dict[ConfigError, None] = {}
    for site in sorted(source.sites) or [""]:
        match load_site(source, site):
            case Failure(errors):
                unique.update(dict.fromkeys(errors))
    return tuple(unique)


def _merge(
    target: dict[str, Any],
    table: Mapping[str, Any],
    file: str,
    path: KeyPath,
    origins: dict[KeyPath, str],
) -> None:
    for key, value in table.items():
        key_path = (*path, key)
        origins[key_path] = file
        if isinstance(value, dict):
            existing = target.get(key)
            target[key] = child = existing if isinstance(existing, dict) else {}
            _merge(child, value, file, key_path, origins)
        else:
            target[key] = value


def _origin_file(origins: dict[KeyPath, str], path: KeyPath) -> str:
    # A missing key has no origin; the file of its nearest table is reported.
    for length in range(len(path), 0, -1):
        if path[:length] in origins:
            return origins[path[:length]]
    return BASE_FILE


def _with_drained(config: Config, drained: tuple[str, ...]) -> Config:
    # A drained upstream may have been removed from the files since.
    upstreams = dict(config.upstreams)
    for name in drained:
        if name in upstreams:
            upstreams[name] = replace(upstreams[name], mode=UpstreamMode.DRAINING)
    return replace(config, upstreams=upstreams)
