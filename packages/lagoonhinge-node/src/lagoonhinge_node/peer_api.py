"""The peer API on the control listener: digests, configuration and members."""

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
    decode_message,
    encode_message,
    header_bytes,
)

Handler = Callable[[web.Request], Awaitable[web.Response]]


class PeerApi:
    """Handlers of the `/peer/` paths.

    Args:
        secret: Secret shared by the nodes.
        handle_digest: Applies a peer's digest and returns this node's own; raises
            `ValueError` for one without a node identity.
        current_config: Returns the version in force, if any.
        blobs: Returns the blobs of that version by digest.
        contacts: Returns the members known here.
        count_bytes: Called with the path and the bytes of each call, sent and received.
    """

    def __init__(
        self,
        secret: str,
        handle_digest: Callable[[PeerDigest], PeerDigest],
        current_config: Callable[[], AcceptedConfig | None],
        blobs: Callable[[], Mapping[str, bytes]],
        contacts: Callable[[], tuple[PeerContact, ...]],
        count_bytes: Callable[[str, int], None],
    ):
        self.secret = secret
        self.handle_digest = handle_digest
        self.current_config = current_config
        self.blobs = blobs
        self.contacts = contacts
        self.count_bytes = count_bytes

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post(DIGEST_PATH, self._authenticated(self.exchange)),
            web.get(CONFIG_PATH, self._authenticated(self.show_config)),
            web.get(BLOBS_PATH + "/{digest}", self._authenticated(self.show_blob)),
            web.get(MEMBERS_PATH, self._authenticated(self.show_members)),
        ]

    async def exchange(self, request: web.Request) -> web.Response:
        """Apply a peer's digest and answer with this node's own."""
        try:
            # aiohttp has already decoded the content encoding.
            digest = decode_message(await request.read(), "", PeerDigest)
            return _message_response(self.handle_digest(digest))
        except (BadMessage, ValueError) as error:
            return web.Response(status=400, text=f"{error}\n")

    async def show_config(self, _: web.Request) -> web.Response:
        """Answer the version in force here."""
        current = self.current_config()
        if current is None:
            return web.Response(status=404, text="no configuration is known yet\n")
        return _message_response(current)

    async def show_blob(self, request: web.Request) -> web.Response:
        """Answer one blob of the version in force here."""
        digest = request.match_info["digest"]
        blob = self.blobs().get(digest)
        if blob is None:
            return web.Response(status=404, text=f"no blob {digest}\n")
        return web.Response(body=blob, content_type=JSON_TYPE)

    async def show_members(self, _: web.Request) -> web.Response:
        """Answer the members known here."""
        return _message_response(self.contacts())

    def _authenticated(self, handler: Handler) -> Handler:
        async def check(request: web.Request) -> web.Response:
            authorization = request.headers.get(hdrs.AUTHORIZATION, "")
            if not compare_digest(
                authorization.encode(), f"Bearer {self.secret}".encode()
            ):
                return web.Response(status=401, text="peer secret missing\n")
            answer = await handler(request)
            received = header_bytes(request.raw_headers) + (request.content_length or 0)
            body = answer.body if isinstance(answer.body, bytes) else b""
            sent = len(body) + header_bytes(answer.headers.items())
            path_label = (
                BLOBS_PATH if request.path.startswith(BLOBS_PATH) else request.path
            )
            self.count_bytes(path_label, received + sent)
            return answer

        return check


def _message_response(message: object) -> web.Response:
    body, headers = encode_message(message)
    return web.Response(body=body, headers=headers)
