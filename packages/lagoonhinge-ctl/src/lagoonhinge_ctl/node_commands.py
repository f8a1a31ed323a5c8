"""The `lagoonctl state` and `lagoonctl nodes` commands."""

from asyncio import run
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from cappa import command
from returns.result import Failure, Success

from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.node_client import NodeState, NodeUnreachable, fetch_states
from lagoonhinge_ctl.options import (
    CaArg,
    FleetAccess,
    JsonArg,
    NodesArg,
    TokenArg,
    check_access,
    exit_with_error,
)
from lagoonhinge_ctl.reports import print_json, print_table
from lagoonhinge_http.session import open_session


@dataclass(frozen=True)
class FleetReport:
    """The nodes that answered and those that did not.

    Attributes:
        nodes: State of each node that answered.
        silent: Nodes that did not answer.
        took_s: Time from the first request until the report, in seconds.
    """

    nodes: tuple[NodeState, ...]
    silent: tuple[NodeUnreachable, ...]
    took_s: float


async def _fetch_report(access: FleetAccess) -> FleetReport:
    started_s = monotonic()
    async with open_session(tls_ca=access.tls_ca) as session:
        states = await fetch_states(session, access, access.addresses)
    return FleetReport(
        tuple(state.unwrap() for state in states if isinstance(state, Success)),
        tuple(state.failure() for state in states if isinstance(state, Failure)),
        round(monotonic() - started_s, 3),
    )


def _node_row(state: NodeState) -> tuple[str, ...]:
    members = state.members.members.values()
    alive = sum(member.alive for member in members)
    return (
        state.address,
        str(state.node.node),
        state.node.site,
        state.node.zone,
        str(state.node.readiness),
        str(state.config.version),
        f"{alive}/{len(members)}",
    )


@dataclass
class _FleetOptions:
    nodes: NodesArg
    operator_token: TokenArg
    tls_ca: CaArg
    json: JsonArg = False

    def report(self, print_report: Callable[[FleetReport], None]) -> None:
        """Print a report on the nodes and list those that did not answer."""
        access = check_access(self.nodes, self.operator_token, self.tls_ca)
        report = run(_fetch_report(access))
        if self.json:
            print_json(report)
        else:
            print_report(report)
        if report.silent:
            lines = (
                f"{node.address}: did not answer: {node.reason}"
                for node in report.silent
            )
            exit_with_error(ExitCode.NODE_SILENT, "\n".join(lines))


def _print_states(report: FleetReport) -> None:
    for state in report.nodes:
        print(f"=== {state.address}")
        print_json(state.sections)


def _print_nodes(report: FleetReport) -> None:
    headers = ("address", "node", "site", "zone", "ready", "config", "peers")
    print_table(headers, [_node_row(state) for state in report.nodes])


@command(name="state", epilog="Example: lagoonctl state --nodes HOST:PORT,HOST:PORT")
@dataclass
class State(_FleetOptions):
    """Print the state dump of every node, and list the nodes that did not answer."""

    def __call__(self) -> None:
        """Run the command."""
        self.report(_print_states)


@command(name="nodes", epilog="Example: lagoonctl nodes --nodes HOST:PORT,HOST:PORT")
@dataclass
class Nodes(_FleetOptions):
    """Print one line for each node, and list the nodes that did not answer."""

    def __call__(self) -> None:
        """Run the command."""
        self.report(_print_nodes)
