"""Acceptance of a changed source, and the wait until it is in force."""

from asyncio import run
from collections.abc import Callable
from dataclasses import dataclass
from getpass import getuser
from typing import TypeAlias

from returns.result import Failure, Success

from lagoonhinge_core.config_load import ConfigSource
from lagoonhinge_core.config_row import AcceptedConfig
from lagoonhinge_ctl.accept import LostRace, NotAccepted, Undecided, accept_config
from lagoonhinge_ctl.accepted import read_accepted
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.options import FleetAccess, stop
from lagoonhinge_ctl.reports import print_json
from lagoonhinge_ctl.watch import Spread, watch_spread
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session

Edit: TypeAlias = Callable[[ConfigSource], ConfigSource]


@dataclass(frozen=True)
class ChangeReport:
    """An accepted change and where it is in force."""

    accepted: AcceptedConfig
    spread: Spread


@dataclass(frozen=True)
class ChangeTarget:
    """Where a change goes and how long to wait for it."""

    platform_url: str
    access: FleetAccess
    wait_s: float


def change_config(edit: Edit, target: ChangeTarget, as_json: bool) -> None:
    """Edit the accepted source, accept the result and wait for the nodes.

    Args:
        edit: Returns the new source from the accepted one.
        target: Where the change goes.
        as_json: Whether to print the report as JSON.
    """
    report = run(_change(edit, target))
    if as_json:
        print_json(report)
    else:
        _print_report(report)
    if report.spread.missing:
        lines = (
            f"not in force: {m.address}: {m.reason}" for m in report.spread.missing
        )
        stop(ExitCode.NOT_EVERYWHERE, "\n".join(lines))


async def _change(edit: Edit, target: ChangeTarget) -> ChangeReport:
    async with open_session() as session:
        platform = HttpPlatform(session, target.platform_url)
        current = await read_accepted(platform)
        source = edit(current.source)
        result = await accept_config(platform, platform, source, getuser(), current.row)
        match result:
            case Failure(LostRace(ours, theirs)):
                message = f"conflict: ours is {ours}, accepted is {theirs}"
                stop(ExitCode.CONFLICT, message)
            case Failure(Undecided(ours, reason)):
                message = f"undecided: change {ours.change}: {reason}; look again"
                stop(ExitCode.UNDECIDED, message)
            case Failure(NotAccepted(reason)):
                stop(ExitCode.PLATFORM, f"not accepted: {reason}")
            case Success(found):
                accepted: AcceptedConfig = found
    async with open_session(tls_ca=target.access.tls_ca) as nodes:
        spread = await watch_spread(
            nodes, target.access, accepted.version, target.wait_s
        )
    return ChangeReport(accepted, spread)


def _print_report(report: ChangeReport) -> None:
    print(f"accepted: version {report.accepted.version}")
    for node in report.spread.in_force:
        print(f"in force: {node.site} {node.address}")
