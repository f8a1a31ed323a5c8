"""The `lagoonctl config` commands."""

from asyncio import run, sleep
from dataclasses import dataclass
from getpass import getuser
from pathlib import Path
from sys import exit, stderr
from time import monotonic
from typing import Annotated, Any

from cappa import Arg, Env, Subcommands, command
from returns.result import Failure, Success

from lagoonhinge_core.config_load import ConfigSource, check_source, decode_source
from lagoonhinge_core.config_row import CONFIG_KEY, AcceptedConfig, blob_name
from lagoonhinge_ctl.accept import LostRace, NotAccepted, Undecided, accept_config
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.node_client import fetch_states
from lagoonhinge_ctl.source_files import read_source
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session
from lagoonhinge_http.wire import decode

FolderArg = Annotated[Path, Arg(help="Folder with base.toml and sites/*.toml.")]
PlatformArg = Annotated[
    str,
    Arg(
        long="--platform-url",
        default=Env("LAGOONHINGE_PLATFORM_URL", default=""),
        help="Root of the platform's services [LAGOONHINGE_PLATFORM_URL]",
    ),
]
NodesArg = Annotated[
    str,
    Arg(
        long="--nodes",
        default=Env("LAGOONHINGE_NODES", default=""),
        help="Control addresses, comma-separated [LAGOONHINGE_NODES]",
    ),
]
TokenArg = Annotated[
    str,
    Arg(
        long="--operator-token",
        default=Env("LAGOONHINGE_OPERATOR_TOKEN", default=""),
        help="Secret of operators [LAGOONHINGE_OPERATOR_TOKEN]",
    ),
]
WATCH_INTERVAL_S = 0.2


def split_nodes(raw: str) -> tuple[str, ...]:
    """Return the addresses of a comma-separated list."""
    return tuple(part.strip() for part in raw.split(",") if part.strip())


def load_checked(folder: Path) -> ConfigSource:
    """Return the checked source of a folder; prints every error and exits if bad."""
    match read_source(folder):
        case Failure(errors):
            _print_errors(errors)
            exit(ExitCode.BAD_CONFIG)
        case Success(found):
            source: ConfigSource = found
    errors = check_source(source)
    if errors:
        _print_errors(errors)
        exit(ExitCode.BAD_CONFIG)
    return source


def _print_errors(errors: tuple[Any, ...]) -> None:
    for error in errors:
        print(error, file=stderr)


@command(name="check")
@dataclass
class Check:
    """Check a configuration without applying it."""

    folder: FolderArg

    def __call__(self) -> None:
        """Run the command."""
        source = load_checked(self.folder)
        print(f"ok: base and {len(source.sites)} sites, digest {source.digest()}")


@command(name="apply")
@dataclass
class Apply:
    """Accept a configuration and wait until every node has it in force."""

    folder: FolderArg
    platform_url: PlatformArg
    nodes: NodesArg
    operator_token: TokenArg
    wait_s: Annotated[float, Arg(long=True, help="Longest wait, in seconds.")] = 10.0

    def __call__(self) -> None:
        """Run the command."""
        source = load_checked(self.folder)
        run(self._apply(source))

    async def _apply(self, source: ConfigSource) -> None:
        async with open_session() as session:
            platform = HttpPlatform(session, self.platform_url)
            match await accept_config(platform, platform, source, getuser()):
                case Failure(LostRace(ours, theirs)):
                    print(f"conflict: ours {ours}, theirs {theirs}", file=stderr)
                    exit(ExitCode.CONFLICT)
                case Failure(Undecided(ours, reason)):
                    print(f"undecided: change {ours.change}: {reason}", file=stderr)
                    print("run it again to settle whether it took effect", file=stderr)
                    exit(ExitCode.UNDECIDED)
                case Failure(NotAccepted(reason)):
                    print(f"not accepted: {reason}", file=stderr)
                    exit(ExitCode.PLATFORM)
                case Success(accepted):
                    print(f"accepted: version {accepted.version}")
            missing = await self._wait(session, accepted)
        if missing:
            for address, reason in missing.items():
                print(f"not in force: {address}: {reason}", file=stderr)
            exit(ExitCode.NOT_EVERYWHERE)

    async def _wait(self, session: Any, accepted: AcceptedConfig) -> dict[str, str]:
        missing = dict.fromkeys(split_nodes(self.nodes), "not asked yet")
        until = monotonic() + self.wait_s
        while missing and monotonic() < until:
            states = await fetch_states(session, tuple(missing), self.operator_token)
            for state in states:
                match state:
                    case Success(node):
                        section = node.sections["ConfigSection"]
                        version = section["version"]
                        why = (
                            f": {section['last_error']}"
                            if section["last_error"]
                            else ""
                        )
                        missing[node.address] = f"version {version}{why}"
                        if version >= accepted.version:
                            missing.pop(node.address)
                            site = node.sections["NodeSection"]["site"]
                            print(f"in force: {site} {node.address}")
                    case Failure(error):
                        missing[error.address] = error.reason
            if missing:
                await sleep(WATCH_INTERVAL_S)
        return missing


@command(name="show")
@dataclass
class Show:
    """Print the accepted configuration."""

    platform_url: PlatformArg

    def __call__(self) -> None:
        """Run the command."""
        run(self._show())

    async def _show(self) -> None:
        async with open_session() as session:
            platform = HttpPlatform(session, self.platform_url)
            match await platform.read(CONFIG_KEY):
                case Failure(error):
                    print(f"the row was not read: {error.reason}", file=stderr)
                    exit(ExitCode.PLATFORM)
                case Success(row) if row.version == 0:
                    print("no configuration was accepted yet", file=stderr)
                    exit(ExitCode.PLATFORM)
                case Success(row):
                    accepted = decode(row.value, AcceptedConfig)
            match await platform.get(blob_name(accepted.digest)):
                case Failure(error):
                    print(f"the blob was not read: {error}", file=stderr)
                    exit(ExitCode.PLATFORM)
                case Success(blob):
                    source = decode_source(blob)
        print(f"# version {accepted.version}, by {accepted.author}")
        print(source.base)
        for site, text in source.sites.items():
            print(f"# sites/{site}.toml\n{text}")


@command(name="config")
@dataclass
class ConfigCommand:
    """Check, apply and show the configuration."""

    subcommand: Subcommands[Check | Apply | Show]
