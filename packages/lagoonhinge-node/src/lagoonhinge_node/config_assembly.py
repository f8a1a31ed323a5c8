"""Assembly of a configuration from the blobs that its manifest lists.

Blobs are cached between versions, so a change fetches and decodes only the parts that
it modified.
"""

from asyncio import gather, to_thread
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import TypeAlias, TypeVar

from returns.result import Failure, Result, Success

from lagoonhinge_core.config import Config
from lagoonhinge_core.config_cross import cross_errors
from lagoonhinge_core.config_parts import (
    DecodedPart,
    Manifest,
    PartRef,
    SiteParts,
    decode_part,
    join_parts,
)
from lagoonhinge_core.config_row import blob_name
from lagoonhinge_core.ports import ObjectStore, PeerClient
from lagoonhinge_http.wire import BadMessage, decode

PEER_BLOB_TIMEOUT_S = 3.0
MAX_CONCURRENT_FETCHES = 8

MessageT = TypeVar("MessageT")


@dataclass(frozen=True)
class AssembledConfig:
    """The complete configuration of one site.

    Attributes:
        config: The configuration.
        blobs: The blobs that it was assembled from, by digest.
    """

    config: Config
    blobs: Mapping[str, bytes]


@dataclass(frozen=True)
class BlobUnavailable:
    """A blob that could not be fetched; a retry may succeed."""

    digest: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"blob {self.digest} was not read: {self.reason}"


@dataclass(frozen=True)
class InvalidConfig:
    """An invalid configuration; a retry cannot succeed."""

    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"refused: {self.reason}"


AssemblyError: TypeAlias = BlobUnavailable | InvalidConfig


class ConfigAssembler:
    """Fetches the blobs of a version and joins them.

    Args:
        objects: Object store with the blobs.
        peers: Client of other nodes, which also serve blobs.
        site: Site whose configuration is assembled.
    """

    def __init__(self, objects: ObjectStore, peers: PeerClient, site: str):
        self.objects = objects
        self.peers = peers
        self.site = site
        self.blobs: dict[str, bytes] = {}
        self.decoded: dict[PartRef, DecodedPart] = {}
        self.store_failed = False

    async def assemble(
        self, digest: str, peer: str | None
    ) -> Result[AssembledConfig, AssemblyError]:
        """Return the site's configuration.

        Args:
            digest: Digest of the manifest.
            peer: Control address of a node that has the blobs, if one is known.
        """
        self.store_failed = False
        manifest = await self._fetch_message(digest, peer, Manifest)
        if isinstance(manifest, Failure):
            return manifest
        listing_digest = manifest.unwrap().site_digest(self.site)
        if listing_digest is None:
            return Failure(InvalidConfig(f"it has nothing for site {self.site!r}"))
        listing = await self._fetch_message(listing_digest, peer, SiteParts)
        if isinstance(listing, Failure):
            return listing
        refs = listing.unwrap().parts
        for start in range(0, len(refs), MAX_CONCURRENT_FETCHES):
            batch = refs[start : start + MAX_CONCURRENT_FETCHES]
            blobs = await gather(*(self._fetch_blob(ref.digest, peer) for ref in batch))
            for blob in blobs:
                if isinstance(blob, Failure):
                    return blob
        # Decoding many accounts takes long and would block the event loop.
        joined = await to_thread(self._join, refs)
        needed = (digest, listing_digest, *(ref.digest for ref in refs))
        return joined.map(lambda config: self._evict_unused(config, needed))

    async def _fetch_message(
        self, digest: str, peer: str | None, message_type: type[MessageT]
    ) -> Result[MessageT, AssemblyError]:
        blob = await self._fetch_blob(digest, peer)
        if isinstance(blob, Failure):
            return blob
        try:
            return Success(decode(blob.unwrap(), message_type))
        except BadMessage as error:
            return Failure(InvalidConfig(f"blob {digest}: {error}"))

    async def _fetch_blob(
        self, digest: str, peer: str | None
    ) -> Result[bytes, AssemblyError]:
        cached = self.blobs.get(digest)
        if cached is not None:
            return Success(cached)
        reasons: list[str] = []
        # Skip the store after a failure: if it hangs, each part would cost a timeout.
        if peer is None or not self.store_failed:
            match await self.objects.get(blob_name(digest)):
                case Success(blob) if _has_digest(digest, blob):
                    return Success(self._cache_blob(digest, blob))
                case Success(_):
                    reasons.append("the store's content has another digest")
                case Failure(error):
                    reasons.append(str(error))
            self.store_failed = True
        if peer is not None:
            match await self.peers.fetch_blob(peer, digest, PEER_BLOB_TIMEOUT_S):
                case Success(blob) if _has_digest(digest, blob):
                    return Success(self._cache_blob(digest, blob))
                case Success(_):
                    reasons.append(f"the content of peer {peer} has another digest")
                case Failure(unreachable):
                    reasons.append(str(unreachable))
        return Failure(BlobUnavailable(digest, "; ".join(reasons)))

    def _cache_blob(self, digest: str, blob: bytes) -> bytes:
        self.blobs[digest] = blob
        return blob

    def _join(self, refs: tuple[PartRef, ...]) -> Result[Config, AssemblyError]:
        for ref in refs:
            if ref not in self.decoded:
                match decode_part(ref, self.blobs[ref.digest]):
                    case Success(part):
                        self.decoded[ref] = part
                    case Failure(error):
                        return Failure(
                            InvalidConfig(f"{ref.kind} part: {error.reason}")
                        )
        config = join_parts(self.decoded[ref] for ref in refs)
        errors = tuple(cross_errors(config))
        if errors:
            summary = "; ".join(f"{'.'.join(e.path)}: {e.reason}" for e in errors)
            return Failure(InvalidConfig(summary))
        return Success(config)

    def _evict_unused(self, config: Config, needed: tuple[str, ...]) -> AssembledConfig:
        # Drop blobs of older versions: peers that needed them now fetch newer ones.
        self.blobs = {digest: self.blobs[digest] for digest in needed}
        self.decoded = {
            ref: part for ref, part in self.decoded.items() if ref.digest in self.blobs
        }
        return AssembledConfig(config, self.blobs)


def _has_digest(digest: str, blob: bytes) -> bool:
    return sha256(blob).hexdigest() == digest
