"""Assembly of a configuration from the blobs that its manifest leads to.

A blob is kept from one version to the next, so a change moves and decodes only the
parts that it touched.
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
FETCHES_AT_ONCE = 8

MessageT = TypeVar("MessageT")


@dataclass(frozen=True)
class Assembled:
    """A whole configuration of one site.

    Attributes:
        config: The configuration.
        blobs: The blobs that it was made of, by digest.
    """

    config: Config
    blobs: Mapping[str, bytes]


@dataclass(frozen=True)
class Unread:
    """A blob that could not be had now; worth another try."""

    digest: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"blob {self.digest} was not read: {self.reason}"


@dataclass(frozen=True)
class Refused:
    """A configuration that no other try makes good."""

    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"refused: {self.reason}"


AssemblyError: TypeAlias = Unread | Refused


class ConfigAssembler:
    """Fetches the blobs of a version and puts them together.

    Args:
        objects: Holds the blobs.
        peers: Calls to other nodes, which hold them too.
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
    ) -> Result[Assembled, AssemblyError]:
        """Return the site's configuration.

        Args:
            digest: Digest of the manifest.
            peer: Control address of a node that has the blobs, if one is known.
        """
        self.store_failed = False
        manifest = await self._message(digest, peer, Manifest)
        if isinstance(manifest, Failure):
            return manifest
        listing_digest = manifest.unwrap().site_digest(self.site)
        if listing_digest is None:
            return Failure(Refused(f"it has nothing for site {self.site!r}"))
        listing = await self._message(listing_digest, peer, SiteParts)
        if isinstance(listing, Failure):
            return listing
        refs = listing.unwrap().parts
        for start in range(0, len(refs), FETCHES_AT_ONCE):
            batch = refs[start : start + FETCHES_AT_ONCE]
            blobs = await gather(*(self._blob(ref.digest, peer) for ref in batch))
            for blob in blobs:
                if isinstance(blob, Failure):
                    return blob
        # Many accounts take long to decode; callers are served meanwhile.
        joined = await to_thread(self._join, refs)
        needed = (digest, listing_digest, *(ref.digest for ref in refs))
        return joined.map(lambda config: self._keep(config, needed))

    async def _message(
        self, digest: str, peer: str | None, kind: type[MessageT]
    ) -> Result[MessageT, AssemblyError]:
        blob = await self._blob(digest, peer)
        if isinstance(blob, Failure):
            return blob
        try:
            return Success(decode(blob.unwrap(), kind))
        except BadMessage as error:
            return Failure(Refused(f"blob {digest}: {error}"))

    async def _blob(
        self, digest: str, peer: str | None
    ) -> Result[bytes, AssemblyError]:
        known = self.blobs.get(digest)
        if known is not None:
            return Success(known)
        reasons: list[str] = []
        # A store that hangs costs its timeout once, not for each of many parts.
        if peer is None or not self.store_failed:
            match await self.objects.get(blob_name(digest)):
                case Success(blob) if _is_named(digest, blob):
                    return Success(self._take(digest, blob))
                case Success(_):
                    reasons.append("the store's content has another digest")
                case Failure(error):
                    reasons.append(str(error))
            self.store_failed = True
        if peer is not None:
            match await self.peers.fetch_blob(peer, digest, PEER_BLOB_TIMEOUT_S):
                case Success(blob) if _is_named(digest, blob):
                    return Success(self._take(digest, blob))
                case Success(_):
                    reasons.append(f"the content of peer {peer} has another digest")
                case Failure(unreachable):
                    reasons.append(str(unreachable))
        return Failure(Unread(digest, "; ".join(reasons)))

    def _take(self, digest: str, blob: bytes) -> bytes:
        self.blobs[digest] = blob
        return blob

    def _join(self, refs: tuple[PartRef, ...]) -> Result[Config, AssemblyError]:
        for ref in refs:
            if ref not in self.decoded:
                match decode_part(ref, self.blobs[ref.digest]):
                    case Success(part):
                        self.decoded[ref] = part
                    case Failure(bad):
                        return Failure(Refused(f"{ref.kind} part: {bad.reason}"))
        config = join_parts(self.decoded[ref] for ref in refs)
        errors = tuple(cross_errors(config))
        if errors:
            shown = "; ".join(f"{'.'.join(e.path)}: {e.reason}" for e in errors)
            return Failure(Refused(shown))
        return Success(config)

    def _keep(self, config: Config, needed: tuple[str, ...]) -> Assembled:
        # Blobs of older versions are dropped; peers that need them have moved on.
        self.blobs = {digest: self.blobs[digest] for digest in needed}
        self.decoded = {
            ref: part for ref, part in self.decoded.items() if ref.digest in self.blobs
        }
        return Assembled(config, self.blobs)


def _is_named(digest: str, blob: bytes) -> bool:
    return sha256(blob).hexdigest() == digest
