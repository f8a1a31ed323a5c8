"""Waiting until every node has a version of the configuration in force."""

from asyncio import sleep
from dataclasses import dataclass
from time import monotonic

from aiohttp import ClientSession
from returns.result import Failure, Success

from lagoonhinge_ctl.node_client import fetch_states
from lagoonhinge_ctl.options import FleetAccess

WATCH_INTERVAL_S = 0.2


@dataclass(frozen=True)
class InForce:
    """A node that has the version in force."""

    site: str
    address: str
    version: int


@dataclass(frozen=True)
class NotInForce:
    """A node that has it not in force, and why."""

    address: str
    reason: str


@dataclass(frozen=True)
class Spread:
    """Where a version is in force and where it is not."""

    in_force: tuple[InForce, ...]
    missing: tuple[NotInForce, ...]


async def watch_spread(
    session: ClientSession, access: FleetAccess, version: int, wait_s: float
) -> Spread:
    """Ask every node until all have the version in force or the wait is over."""
    in_force: list[InForce] = []
    missing = dict.fromkeys(access.addresses, "was not asked")
    until = monotonic() + wait_s
    while missing and monotonic() < until:
        for state in await fetch_states(session, access, tuple(missing)):
            match state:
                case Success(node) if node.config.version >= version:
                    missing.pop(node.address)
                    site, found = node.node.site, node.config.version
                    in_force.append(InForce(site, node.address, found))
                case Success(node):
                    error = node.config.last_error
                    missing[node.address] = f"at version {node.config.version} {error}"
                case Failure(error):
                    missing[error.address] = error.reason
        if missing:
            await sleep(WATCH_INTERVAL_S)
    still = (NotInForce(address, reason) for address, reason in missing.items())
    return Spread(tuple(in_force), tuple(still))
