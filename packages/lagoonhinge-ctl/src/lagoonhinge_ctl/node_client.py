"""Calls to the nodes' control listeners."""

from asyncio import gather
from dataclasses import dataclass
from typing import Any

from aiohttp import ClientError, ClientSession
from returns.result import Failure, Result, Success

from lagoonhinge_http.session import ConnectionLost, call_timeout
from lagoonhinge_http.wire import BadMessage, decode

NODE_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class NodeUnreachable:
    """A node that did not answer."""

    address: str
    reason: str


@dataclass(frozen=True)
class NodeState:
    """A node's state dump: its sections by name."""

    address: str
    sections: dict[str, Any]


async def fetch_state(
    session: ClientSession, address: str, token: str
) -> Result[NodeState, NodeUnreachable]:
    """Return the state dump of one node."""
    headers = {"Authorization": f"Bearer {token}"}
    try:
        async with session.get(
            f"http://{address}/state",
            headers=headers,
            timeout=call_timeout(NODE_TIMEOUT_S),
        ) as answer:
            body = await answer.read()
            if answer.status != 200:
                reason = f"status {answer.status}: {body.decode(errors='replace')}"
                return Failure(NodeUnreachable(address, reason.strip()))
            return Success(NodeState(address, decode(body, dict[str, Any])))
    except TimeoutError:
        return Failure(NodeUnreachable(address, f"no answer within {NODE_TIMEOUT_S} s"))
    except (ConnectionLost, ClientError, BadMessage) as error:
        return Failure(NodeUnreachable(address, str(error)))


async def fetch_states(
    session: ClientSession, addresses: tuple[str, ...], token: str
) -> tuple[Result[NodeState, NodeUnreachable], ...]:
    """Return the state dump of every node, or why it did not answer."""
    return tuple(await gather(*(fetch_state(session, a, token) for a in addresses)))
