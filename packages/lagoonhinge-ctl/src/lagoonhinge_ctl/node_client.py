"""Client of the nodes' control listeners."""

from asyncio import gather
from dataclasses import dataclass
from typing import Any

from aiohttp import ClientSession
from msgspec import ValidationError, convert
from returns.result import Failure, Result, Success

from lagoonhinge_core.sections import MembersSection, NodeSection
from lagoonhinge_ctl.options import FleetAccess
from lagoonhinge_http.calls import HttpResponse, call
from lagoonhinge_http.session import call_timeout
from lagoonhinge_http.wire import BadMessage, decode

NODE_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class NodeUnreachable:
    """A node that did not answer."""

    address: str
    reason: str


@dataclass(frozen=True)
class NodeState:
    """A node's state dump.

    Attributes:
        address: Its control address.
        sections: The whole dump, by section name.
    """

    address: str
    sections: dict[str, Any]

    @property
    def node(self) -> NodeSection:
        """Return the section about the node itself."""
        return convert(self.sections["NodeSection"], NodeSection)

    @property
    def config(self) -> "ConfigInForce":
        """Return the section about the configuration in force."""
        return convert(self.sections["ConfigSection"], ConfigInForce)

    @property
    def members(self) -> MembersSection:
        """Return the section about the membership as this node sees it."""
        section = self.sections.get("MembersSection", {"members": {}})
        return convert(section, MembersSection)


@dataclass(frozen=True)
class ConfigInForce:
    """The fields of `ConfigSection` about the configuration in force."""

    version: int
    digest: str
    in_force_wall_s: float
    last_error: str


async def fetch_state(
    session: ClientSession, access: FleetAccess, address: str
) -> Result[NodeState, NodeUnreachable]:
    """Return the state dump of one node."""
    headers = {"Authorization": f"Bearer {access.token}"}
    url, timeout = access.state_url(address), call_timeout(NODE_TIMEOUT_S)
    match await call(session, "GET", url, timeout, headers=headers):
        case Failure(TimeoutError()):
            reason = f"no answer within {NODE_TIMEOUT_S} s"
            return Failure(NodeUnreachable(address, reason))
        case Failure(error):
            return Failure(NodeUnreachable(address, str(error)))
        case Success(HttpResponse(200, body)):
            pass
        case Success(response):
            text = response.body.decode(errors="replace").strip()
            return Failure(
                NodeUnreachable(address, f"status {response.status}: {text}")
            )
    try:
        return Success(NodeState(address, decode(body, dict[str, Any])))
    except (BadMessage, ValidationError) as error:
        return Failure(NodeUnreachable(address, str(error)))


async def fetch_states(
    session: ClientSession, access: FleetAccess, addresses: tuple[str, ...]
) -> tuple[Result[NodeState, NodeUnreachable], ...]:
    """Return the state dump of each node, or why it did not answer."""
    return tuple(
        await gather(*(fetch_state(session, access, address) for address in addresses))
    )
