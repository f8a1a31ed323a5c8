"""The peers' part of the control listener: digests, configuration and members."""

from collections.abc import Awaitable, Callable, Mapping
from hmac import compare_digest

from aiohttp import hdrs, web

from lagoonhinge_core.config_row import AcceptedConfig
from lagoonhinge_core.peer_messages import PeerContact, PeerDigest
from lagoonhinge_http.wire import BadMessage
from lagoonhinge_node.peer_wire import (
    BLOBS_PATH,
    CONFIG_PATH,
    DIGEST_PATH,
    JSON_TYPE,
    MEMBERS_PATH,
    header_bytes,
    pack,
    unpack,
)

Handler = Callable[[web.Request], Awaitable[web.Response]]


class PeerApi:
    """Handlers of the `/peer/` paths.

    Args:
        secret: Secret shared by the nodes.
        take_digest: Takes a peer's digest and returns this node's own; raises
            `ValueError` for one without a node identity.
        known_config: Returns the version in force, if any.
        blobs: Returns the blobs of that version by digest.
        contacts: Returns the members known here.
        count_bytes: Told the path and the bytes of each call, both ways.
    """

    def __init__(
        self,
        secret: str,
        take_digest: Callable[[PeerDigest], PeerDigest],
        known_config: Callable[[], AcceptedConfig | None],
        blobs: Callable[[], Mapping[str, bytes]],
        contacts: Callable[[], tuple[PeerContact, ...]],
        count_bytes: Callable[[str, int], None],
    ):
        self.secret = secret
        self.take_digest = take_digest
        self.known_config = known_config
        self.blobs = blobs
        self.contacts = contacts
        self.count_bytes = count_bytes

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post(DIGEST_PATH, self._guarded(self.exchange)),
            web.get(CONFIG_PATH, self._guarded(self.show_config)),
            web.get(BLOBS_PATH + "/{digest}", self._guarded(self.show_blob)),
            web.get(MEMBERS_PATH, self._guarded(self.show_members)),
        ]

    async def exchange(self, request: web.Request) -> web.Response:
        """Take a peer's digest and answer with this node's own."""
        try:
            # The server has undone the content encoding already.
            digest = unpack(await request.read(), "", PeerDigest)
            return _packed(self.take_digest(digest))
        except (BadMessage, ValueError) as error:
            return web.Response(status=400, text=f"{error}\n")

    async def show_config(self, _: web.Request) -> web.Response:
        """Answer the version in force here."""
        known = self.known_config()
        if known is None:
            return web.Response(status=404, text="no configuration is known yet\n")
        return _packed(known)

    async def show_blob(self, request: web.Request) -> web.Response:
        """Answer one blob of the version in force here."""
        digest = request.match_info["digest"]
        blob = self.blobs().get(digest)
        if blob is None:
            return web.Response(status=404, text=f"no blob {digest}\n")
        return web.Response(body=blob, content_type=JSON_TYPE)

    async def show_members(self, _: web.Request) -> web.Response:
        """Answer the members known here."""
        return _packed(self.contacts())

    def _guarded(self, handler: Handler) -> Handler:
        async def check(request: web.Request) -> web.Response:
            given = request.headers.get(hdrs.AUTHORIZATION, "")
            if not compare_digest(given.encode(), f"Bearer {self.secret}".encode()):
                return web.Response(status=401, text="peer secret missing\n")
            answer = await handler(request)
            received = header_bytes(request.raw_headers) + (request.content_length or 0)
            body = answer.body if isinstance(answer.body, bytes) else b""
            sent = len(body) + header_bytes(answer.headers.items())
            kind = BLOBS_PATH if request.path.startswith(BLOBS_PATH) else request.path
            self.count_bytes(kind, received + sent)
            return answer

        return check


def _packed(message: object) -> web.Response:
    body, headers = pack(message)
    return web.Response(body=body, headers=headers)
