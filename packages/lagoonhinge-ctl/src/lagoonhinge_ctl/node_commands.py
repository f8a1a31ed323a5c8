"""The `lagoonctl state` command."""

from asyncio import run
from dataclasses import dataclass
from sys import exit, stderr

from cappa import command
from msgspec import json
from returns.result import Failure, Success

from lagoonhinge_ctl.config_commands import NodesArg, TokenArg, split_nodes
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.node_client import fetch_states
from lagoonhinge_http.session import open_session


@command(name="state")
@dataclass
class State:
    """Print the state dump of every node."""

    nodes: NodesArg
    operator_token: TokenArg

    def __call__(self) -> None:
        """Run the command."""
        run(self._show())

    async def _show(self) -> None:
        async with open_session() as session:
            addresses = split_nodes(self.nodes)
            states = await fetch_states(session, addresses, self.operator_token)
        silent = False
        for state in states:
            match state:
                case Success(node):
                    print(json.format(json.encode(node)).decode())
                case Failure(error):
                    print(f"{error.address}: {error.reason}", file=stderr)
                    silent = True
        if silent:
            exit(ExitCode.NODE_SILENT)
