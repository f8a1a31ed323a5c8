"""Division of a checked configuration into parts; a change transfers few bytes.

Accounts and upstreams are sharded by a hash of their names; the rest is one part. Each
part is named by the digest of its content, so a node fetches and decodes only the parts
that changed.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import Any
from zlib import crc32

from msgspec import json
from returns.result import Failure, Result, Success

from lagoonhinge_core.config import AccountConfig, Config, UpstreamConfig
from lagoonhinge_core.config_decode import TableDecoder
from lagoonhinge_core.decoding import DECODING_ERRORS

MAX_MEAN_SHARD_ENTRIES = 256


class PartKind(StrEnum):
    """Content of a part."""

    HEAD = "head"
    ACCOUNTS = "accounts"
    UPSTREAMS = "upstreams"


@dataclass(frozen=True)
class PartRef:
    """Reference to one part.

    Attributes:
        kind: Kind of its content.
        digest: SHA-256 of its content, in hexadecimal.
    """

    kind: PartKind
    digest: str


@dataclass(frozen=True)
class SiteParts:
    """References to the parts of one site, stored as one object."""

    parts: tuple[PartRef, ...]


@dataclass(frozen=True)
class Manifest:
    """References to the content of an accepted version; the row has its digest.

    Attributes:
        source_digest: SHA-256 of the files as written, stored for operators.
        sites: Digest of the site's `SiteParts` by site name; `""` means every site
            without an overlay.
    """

    source_digest: str
    sites: dict[str, str]

    def site_digest(self, site: str) -> str | None:
        """Return the digest of a site's list of parts, if it has any."""
        return self.sites.get(site, self.sites.get(""))


@dataclass(frozen=True)
class Blob:
    """An object stored under the digest of its content."""

    digest: str
    content: bytes


@dataclass(frozen=True)
class Bundle:
    """All objects of an accepted version.

    Attributes:
        manifest: The blob whose digest is in the row.
        blobs: The blobs that the manifest refers to, each once.
    """

    manifest: Blob
    blobs: tuple[Blob, ...]


@dataclass(frozen=True)
class Part:
    """One part with its content."""

    ref: PartRef
    content: bytes


@dataclass(frozen=True)
class DecodedPart:
    """One part, decoded."""

    ref: PartRef
    value: Config | dict[str, AccountConfig] | dict[str, UpstreamConfig]


@dataclass(frozen=True)
class InvalidPart:
    """A part whose content is invalid or doesn't match its digest, and why."""

    ref: PartRef
    reason: str


def make_blob(value: Any) -> Blob:
    """Return a value, encoded as JSON, as a blob."""
    content = json.encode(value, order="sorted")
    return Blob(sha256(content).hexdigest(), content)


def make_bundle(source: Blob, sites: Mapping[str, Config]) -> Bundle:
    """Return the objects to store for a version.

    Args:
        source: The files as written.
        sites: The checked configuration by site name.
    """
    blobs = {source.digest: source}
    site_digests: dict[str, str] = {}
    for site, config in sites.items():
        parts = split_config(config)
        for part in parts:
            blobs[part.ref.digest] = Blob(part.ref.digest, part.content)
        site_parts = make_blob(SiteParts(tuple(part.ref for part in parts)))
        blobs[site_parts.digest] = site_parts
        site_digests[site] = site_parts.digest
    manifest = make_blob(Manifest(source.digest, site_digests))
    return Bundle(manifest, tuple(blobs.values()))


def split_config(config: Config) -> tuple[Part, ...]:
    """Return the parts of a site's configuration; equal parts have equal digests."""
    head = replace(config, accounts={}, upstreams={})
    return (
        _make_part(PartKind.HEAD, head),
        *_shards(PartKind.ACCOUNTS, config.accounts),
        *_shards(PartKind.UPSTREAMS, config.upstreams),
    )


def decode_part(ref: PartRef, content: bytes) -> Result[DecodedPart, InvalidPart]:
    """Check the digest of a part and decode it."""
    digest = sha256(content).hexdigest()
    if digest != ref.digest:
        return Failure(InvalidPart(ref, f"its content has digest {digest}"))
    try:
        return _decode_content(ref, content)
    except DECODING_ERRORS as error:
        return Failure(InvalidPart(ref, str(error)))


def join_parts(parts: Iterable[DecodedPart]) -> Config:
    """Return the configuration assembled from the parts of one site."""
    head: Config | None = None
    accounts: dict[str, Any] = {}
    upstreams: dict[str, Any] = {}
    for part in parts:
        match part.value:
            case Config():
                head = part.value
            case entries if part.ref.kind == PartKind.ACCOUNTS:
                accounts.update(entries)
            case entries:
                upstreams.update(entries)
    assert head is not None, "a site has no head part"
    return replace(head, accounts=accounts, upstreams=upstreams)


def _decode_content(ref: PartRef, content: bytes) -> Result[DecodedPart, InvalidPart]:
    match ref.kind:
        case PartKind.ACCOUNTS:
            accounts = json.decode(content, type=dict[str, AccountConfig])
            return Success(DecodedPart(ref, accounts))
        case PartKind.UPSTREAMS:
            upstreams = json.decode(content, type=dict[str, UpstreamConfig])
            return Success(DecodedPart(ref, upstreams))
        case PartKind.HEAD:
            # The unions of services and placement policies need the table decoder.
            decoder = TableDecoder()
            config = decoder.decode(Config, json.decode(content), ())
            if decoder.errors:
                return Failure(InvalidPart(ref, str(decoder.errors[0])))
            return Success(DecodedPart(ref, config))


def _make_part(kind: PartKind, value: Any) -> Part:
    blob = make_blob(value)
    return Part(PartRef(kind, blob.digest), blob.content)


def _shards(kind: PartKind, entries: Mapping[str, Any]) -> tuple[Part, ...]:
    count = 1
    while count * MAX_MEAN_SHARD_ENTRIES < len(entries):
        # Powers of two: entries change shards only when the count doubles.
        count *= 2
    shards: list[dict[str, Any]] = [{} for _ in range(count)]
    for name, entry in entries.items():
        shards[crc32(name.encode()) % count][name] = entry
    return tuple(_make_part(kind, shard) for shard in shards)
