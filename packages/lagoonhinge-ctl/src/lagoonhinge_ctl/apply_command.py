"""The `lagoonctl config apply` command."""

from dataclasses import dataclass, replace

from cappa import command

from lagoonhinge_core.config_load import ConfigSource
from lagoonhinge_ctl.config_change import ChangeTarget, change_config
from lagoonhinge_ctl.options import (
    CaArg,
    FolderArg,
    JsonArg,
    NodesArg,
    PlatformArg,
    TokenArg,
    WaitArg,
    check_access,
    check_platform,
)
from lagoonhinge_ctl.source_files import load_checked_source

DEFAULT_WAIT_S = 10.0


@command(
    name="apply",
    epilog=(
        "Example: lagoonctl config apply examples --platform-url http://HOST:PORT "
        "--nodes HOST:PORT,HOST:PORT"
    ),
)
@dataclass
class Apply:
    """Accept a folder's configuration and wait until every node has it in force.

    Upstreams drained with `lagoonctl drain` stay drained.
    """

    folder: FolderArg
    platform_url: PlatformArg
    nodes: NodesArg
    operator_token: TokenArg
    tls_ca: CaArg
    wait_s: WaitArg = DEFAULT_WAIT_S
    json: JsonArg = False

    def __call__(self) -> None:
        """Run the command."""
        platform_url = check_platform(self.platform_url)
        access = check_access(self.nodes, self.operator_token, self.tls_ca)
        source = load_checked_source(self.folder)

        def keep_drained(accepted: ConfigSource) -> ConfigSource:
            return replace(source, drained=accepted.drained)

        target = ChangeTarget(platform_url, access, self.wait_s)
        change_config(keep_drained, target, self.json)
