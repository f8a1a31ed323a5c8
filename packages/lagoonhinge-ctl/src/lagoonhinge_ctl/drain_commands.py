"""The `lagoonctl drain` and `lagoonctl undrain` commands."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, TypeAlias

from cappa import Arg, command
from returns.result import Success

from lagoonhinge_core.config_load import ConfigSource, load_site
from lagoonhinge_ctl.apply_command import DEFAULT_WAIT_S
from lagoonhinge_ctl.config_change import ChangeTarget, change_config
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.options import (
    CaArg,
    JsonArg,
    NodesArg,
    PlatformArg,
    TokenArg,
    WaitArg,
    check_access,
    check_platform,
    exit_with_error,
)

UpstreamArg: TypeAlias = Annotated[str, Arg(help="Name of the upstream.")]


def _has_upstream(source: ConfigSource, name: str) -> bool:
    for site in source.sites or {"": ""}:
        match load_site(source, site):
            case Success(config) if name in config.upstreams:
                return True
    return False


def _add_drained(source: ConfigSource, name: str) -> ConfigSource:
    if not _has_upstream(source, name):
        exit_with_error(ExitCode.USAGE, f"there is no upstream {name!r}")
    return replace(source, drained=tuple(sorted({*source.drained, name})))


def _remove_drained(source: ConfigSource, name: str) -> ConfigSource:
    if name not in source.drained:
        exit_with_error(ExitCode.USAGE, f"upstream {name!r} was not drained by command")
    return replace(
        source, drained=tuple(other for other in source.drained if other != name)
    )


@dataclass
class _DrainOptions:
    upstream: UpstreamArg
    platform_url: PlatformArg
    nodes: NodesArg
    operator_token: TokenArg
    tls_ca: CaArg
    wait_s: WaitArg = DEFAULT_WAIT_S
    json: JsonArg = False

    def run(self, edit: Callable[[ConfigSource, str], ConfigSource]) -> None:
        """Accept the edited source and wait until it is in force on the nodes."""
        platform_url = check_platform(self.platform_url)
        access = check_access(self.nodes, self.operator_token, self.tls_ca)
        target = ChangeTarget(platform_url, access, self.wait_s)
        change_config(lambda source: edit(source, self.upstream), target, self.json)


@command(name="drain", epilog="Example: lagoonctl drain engine-03")
@dataclass
class Drain(_DrainOptions):
    """Send an upstream no new requests; those running on it finish."""

    def __call__(self) -> None:
        """Run the command."""
        self.run(_add_drained)


@command(name="undrain", epilog="Example: lagoonctl undrain engine-03")
@dataclass
class Undrain(_DrainOptions):
    """Send new requests to a drained upstream again."""

    def __call__(self) -> None:
        """Run the command."""
        self.run(_remove_drained)
