"""Division of a checked configuration into parts: a change moves few bytes.

Accounts and upstreams are spread over shards by a hash of their names; the rest is
one part. Each part is named by the digest of its content, so a node fetches and
decodes only the parts that a change touched.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import Any
from zlib import crc32

from msgspec import DecodeError, ValidationError, json
from returns.result import Failure, Result, Success

from lagoonhinge_core.config import AccountConfig, Config, UpstreamConfig
from lagoonhinge_core.config_decode import TableDecoder

SHARD_ENTRIES = 256


class PartKind(StrEnum):
    """What a part holds."""

    HEAD = "head"
    ACCOUNTS = "accounts"
    UPSTREAMS = "upstreams"


@dataclass(frozen=True)
class PartRef:
    """Name of one part.

    Attributes:
        kind: What it holds.
        digest: SHA-256 of its content, in hexadecimal.
    """

    kind: PartKind
    digest: str


@dataclass(frozen=True)
class SiteParts:
    """The parts of one site, kept as an object of its own."""

    parts: tuple[PartRef, ...]


@dataclass(frozen=True)
class Manifest:
    """What an accepted version consists of; this is the blob that the row names.

    Attributes:
        source_digest: SHA-256 of the files as written, kept for operators.
        sites: Digest of the site's `SiteParts` by site name; `""` stands for every
            site without an overlay.
    """

    source_digest: str
    sites: dict[str, str]

    def site_digest(self, site: str) -> str | None:
        """Return the digest of a site's list of parts, if it has any."""
        return self.sites.get(site, self.sites.get(""))


@dataclass(frozen=True)
class Blob:
    """An object kept under the digest of its content."""

    digest: str
    content: bytes


@dataclass(frozen=True)
class Bundle:
    """Everything that an accepted version needs in the object store.

    Attributes:
        manifest: The blob that the row names.
        blobs: The blobs that the manifest leads to, each once.
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
class BadPart:
    """A part that is not what its name says, and why."""

    ref: PartRef
    reason: str


def make_blob(value: Any) -> Blob:
    """Return a message as a blob."""
    content = json.encode(value, order="sorted")
    return Blob(sha256(content).hexdigest(), content)


def make_bundle(source: Blob, sites: Mapping[str, Config]) -> Bundle:
    """Return what is to be stored for a version.

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
        listing = make_blob(SiteParts(tuple(part.ref for part in parts)))
        blobs[listing.digest] = listing
        site_digests[site] = listing.digest
    manifest = make_blob(Manifest(source.digest, site_digests))
    return Bundle(manifest, tuple(blobs.values()))


def split_config(config: Config) -> tuple[Part, ...]:
    """Return the parts of a site's configuration; equal parts have equal names."""
    head = replace(config, accounts={}, upstreams={})
    return (
        _make_part(PartKind.HEAD, head),
        *_shards(PartKind.ACCOUNTS, config.accounts),
        *_shards(PartKind.UPSTREAMS, config.upstreams),
    )


def decode_part(ref: PartRef, content: bytes) -> Result[DecodedPart, BadPart]:
    """Return a part after a check of its digest."""
    digest = sha256(content).hexdigest()
    if digest != ref.digest:
        return Failure(BadPart(ref, f"its content has digest {digest}"))
    try:
        return _decode_content(ref, content)
    except (DecodeError, ValidationError) as error:
        return Failure(BadPart(ref, str(error)))


def join_parts(parts: Iterable[DecodedPart]) -> Config:
    """Return the configuration that the parts of one site make up."""
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


def _decode_content(ref: PartRef, content: bytes) -> Result[DecodedPart, BadPart]:
    match ref.kind:
        case PartKind.ACCOUNTS:
            accounts = json.decode(content, type=dict[str, AccountConfig])
            return Success(DecodedPart(ref, accounts))
        case PartKind.UPSTREAMS:
            upstreams = json.decode(content, type=dict[str, UpstreamConfig])
            return Success(DecodedPart(ref, upstreams))
        case PartKind.HEAD:
            # The variants of services and policies need the decoder of files.
            decoder = TableDecoder()
            config = decoder.decode(Config, json.decode(content), ())
            if decoder.errors:
                return Failure(BadPart(ref, str(decoder.errors[0])))
            return Success(DecodedPart(ref, config))


def _make_part(kind: PartKind, value: Any) -> Part:
    blob = make_blob(value)
    return Part(PartRef(kind, blob.digest), blob.content)


def _shards(kind: PartKind, entries: Mapping[str, Any]) -> tuple[Part, ...]:
    count = 1
    while count * SHARD_ENTRIES < len(entries):
        # Powers of two: growth moves entries only when the count doubles.
        count *= 2
    shards: list[dict[str, Any]] = [{} for _ in range(count)]
    for name, entry in entries.items():
        shards[crc32(name.encode()) % count][name] = entry
    return tuple(_make_part(kind, shard) for shard in shards)
