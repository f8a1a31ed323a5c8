"""Accept a changed source and wait until it is in force."""

from asyncio import run
from collections.abc import Callable
from dataclasses import dataclass
from getpass import getuser
from typing import TypeAlias

from returns.result import Failure, Success

from lagoonhinge_core.config_load import ConfigSource
from lagoonhinge_core.config_row import AcceptedConfig
from lagoonhinge_ctl.accepted_source import read_accepted_source
from lagoonhinge_ctl.config_acceptance import (
    ChangeConflict,
    NotAccepted,
    OutcomeUnknown,
    accept_config,
)
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.options import FleetAccess, exit_with_error
from lagoonhinge_ctl.reports import print_json
from lagoonhinge_ctl.rollout import Rollout, wait_for_rollout
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session

SourceEdit: TypeAlias = Callable[[ConfigSource], ConfigSource]


@dataclass(frozen=True)
class ChangeReport:
    """An accepted change and the nodes that have it in force."""

    accepted: AcceptedConfig
    spread: Rollout


@dataclass(frozen=True)
class ChangeTarget:
    """Platform and nodes that a change goes to, and how long to wait for the nodes."""

    platform_url: str
    access: FleetAccess
    wait_s: float


def change_config(edit: SourceEdit, target: ChangeTarget, as_json: bool) -> None:
    """Edit the accepted source, accept the result and wait for the nodes.

    Args:
        edit: Returns the new source, given the accepted one.
        target: Platform and nodes.
        as_json: Whether to print the report as JSON.
    """
    report = run(_apply_edit(edit, target))
    if as_json:
        print_json(report)
    else:
        _print_report(report)
    if report.spread.missing:
        lines = (
            f"not in force: {node.address}: {node.reason}"
            for node in report.spread.missing
        )
        exit_with_error(ExitCode.NOT_EVERYWHERE, "\n".join(lines))


async def _apply_edit(edit: SourceEdit, target: ChangeTarget) -> ChangeReport:
    async with open_session() as session:
        platform = HttpPlatform(session, target.platform_url)
        current = await read_accepted_source(platform)
        source = edit(current.source)
        result = await accept_config(platform, platform, source, getuser(), current.row)
        match result:
            case Failure(ChangeConflict(ours, theirs)):
                message = (
                    f"another change was accepted first: ours is {ours}, "
                    f"accepted is {theirs}"
                )
                exit_with_error(ExitCode.CONFLICT, message)
            case Failure(OutcomeUnknown(ours, reason)):
                message = (
                    f"it is unknown whether change {ours.change} was accepted: "
                    f"{reason}; run `lagoonctl config show --json` to check"
                )
                exit_with_error(ExitCode.UNDECIDED, message)
            case Failure(NotAccepted(reason)):
                exit_with_error(ExitCode.PLATFORM, f"not accepted: {reason}")
            case Success(config):
                accepted: AcceptedConfig = config
    async with open_session(tls_ca=target.access.tls_ca) as node_session:
        spread = await wait_for_rollout(
            node_session, target.access, accepted.version, target.wait_s
        )
    return ChangeReport(accepted, spread)


def _print_report(report: ChangeReport) -> None:
    print(f"accepted: version {report.accepted.version}")
    for node in report.spread.in_force:
        print(f"in force: {node.site} {node.address}")
