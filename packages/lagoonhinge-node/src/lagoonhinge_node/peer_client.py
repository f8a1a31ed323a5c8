"""HTTP client of other nodes, with a connection pool of its own."""

from collections.abc import Callable
from ssl import SSLContext
from typing import TypeVar

from aiohttp import ClientError, ClientResponse, hdrs
from msgspec import Raw
from returns.result import Failure, Result, Success

from lagoonhinge_core.config_row import AcceptedConfig
from lagoonhinge_core.peer_messages import PeerContact, PeerDigest, PeerUnreachable
from lagoonhinge_http.session import ConnectionLost, call_timeout, open_session
from lagoonhinge_http.wire import BadMessage
from lagoonhinge_node.peer_wire import (
    BLOBS_PATH,
    CONFIG_PATH,
    DIGEST_PATH,
    MEMBERS_PATH,
    decode_message,
    encode_message,
    header_bytes,
)

MAX_CONNECTIONS = 64
UNUSED_HEADERS = (hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING)

MessageT = TypeVar("MessageT")


class HttpPeerClient:
    """Client of the `/peer/` paths of other nodes.

    Args:
        secret: Secret shared by the nodes.
        tls: TLS context; `None` for plain HTTP.
        count_bytes: Called with the path and the bytes of each call, sent and received.
    """

    def __init__(
        self,
        secret: str,
        tls: SSLContext | None,
        count_bytes: Callable[[str, int], None],
    ):
        self.headers = {"Authorization": f"Bearer {secret}"}
        self.tls = tls
        self.count_bytes = count_bytes
        self.session = open_session(MAX_CONNECTIONS)

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_s: float
    ) -> Result[PeerDigest, PeerUnreachable]:
        """Send a digest and return the peer's digest."""
        return await self._call(address, DIGEST_PATH, digest, PeerDigest, timeout_s)

    async def fetch_config(
        self, address: str, timeout_s: float
    ) -> Result[AcceptedConfig, PeerUnreachable]:
        """Return the version in force at a peer."""
        return await self._call(address, CONFIG_PATH, None, AcceptedConfig, timeout_s)

    async def fetch_blob(
        self, address: str, digest: str, timeout_s: float
    ) -> Result[bytes, PeerUnreachable]:
        """Return a blob of the version in force at a peer; its digest is unchecked."""
        path = f"{BLOBS_PATH}/{digest}"
        answer = await self._call(address, path, None, Raw, timeout_s)
        return answer.map(bytes)

    async def fetch_contacts(
        self, address: str, timeout_s: float
    ) -> Result[tuple[PeerContact, ...], PeerUnreachable]:
        """Return the members known to a peer."""
        message_type = tuple[PeerContact, ...]
        return await self._call(address, MEMBERS_PATH, None, message_type, timeout_s)

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def _call(
        self,
        address: str,
        path: str,
        message: object,
        message_type: type[MessageT],
        timeout_s: float,
    ) -> Result[MessageT, PeerUnreachable]:
        scheme = "http" if self.tls is None else "https"
        body, headers = (None, {}) if message is None else encode_message(message)
        try:
            async with self.session.request(
                "GET" if message is None else "POST",
                f"{scheme}://{address}{path}",
                data=body,
                headers={**self.headers, **headers},
                skip_auto_headers=UNUSED_HEADERS,
                timeout=call_timeout(timeout_s),
                ssl=self.tls or True,
            ) as answer:
                received = await answer.read()
                self._count_bytes(path, answer, len(body or b"") + len(received))
                if answer.status != 200:
                    return Failure(PeerUnreachable(address, f"status {answer.status}"))
                encoding = answer.headers.get(hdrs.CONTENT_ENCODING, "")
                return Success(decode_message(received, encoding, message_type))
        except TimeoutError:
            return Failure(PeerUnreachable(address, f"no answer in {timeout_s} s"))
        except (ConnectionLost, ClientError, BadMessage) as error:
            return Failure(PeerUnreachable(address, str(error)))

    def _count_bytes(self, path: str, answer: ClientResponse, body_bytes: int) -> None:
        head_bytes = header_bytes(answer.request_info.headers.items())
        head_bytes += header_bytes(answer.raw_headers)
        # All blobs share one label, so that the number of labels stays bounded.
        path_label = BLOBS_PATH if path.startswith(BLOBS_PATH) else path
        self.count_bytes(path_label, head_bytes + body_bytes)
