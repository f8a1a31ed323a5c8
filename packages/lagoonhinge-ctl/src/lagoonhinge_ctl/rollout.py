"""Wait until every node has a version of the configuration in force."""

from asyncio import sleep
from dataclasses import dataclass
from time import monotonic

from aiohttp import ClientSession
from returns.result import Failure, Success

from lagoonhinge_ctl.node_client import fetch_states
from lagoonhinge_ctl.options import FleetAccess

POLL_INTERVAL_S = 0.2


@dataclass(frozen=True)
class InForce:
    """A node that has the version in force."""

    site: str
    address: str
    version: int


@dataclass(frozen=True)
class NotInForce:
    """A node that does not have the version in force, and why."""

    address: str
    reason: str


@dataclass(frozen=True)
class Rollout:
    """The nodes that have a version in force, and those that do not."""

    in_force: tuple[InForce, ...]
    missing: tuple[NotInForce, ...]


async def wait_for_rollout(
    session: ClientSession, access: FleetAccess, version: int, wait_s: float
) -> Rollout:
    """Poll the nodes until all have the version in force or `wait_s` is over."""
    in_force: list[InForce] = []
    missing = dict.fromkeys(access.addresses, "was not polled")
    deadline_s = monotonic() + wait_s
    while missing and monotonic() < deadline_s:
        for state in await fetch_states(session, access, tuple(missing)):
            match state:
                case Success(node) if node.config.version >= version:
                    missing.pop(node.address)
                    site, node_version = node.node.site, node.config.version
                    in_force.append(InForce(site, node.address, node_version))
                case Success(node):
                    error = node.config.last_error
                    missing[node.address] = f"at version {node.config.version} {error}"
                case Failure(error):
                    missing[error.address] = error.reason
        if missing:
            await sleep(POLL_INTERVAL_S)
    not_in_force = (NotInForce(address, reason) for address, reason in missing.items())
    return Rollout(tuple(in_force), tuple(not_in_force))
