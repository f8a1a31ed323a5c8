"""The `lagoonctl config` commands that make no changes: check, show and diff."""

from asyncio import run
from dataclasses import dataclass
from difflib import unified_diff

from cappa import Subcommands, command

from lagoonhinge_core.config_load import (
    BASE_FILE,
    ConfigSource,
    overlay_file,
)
from lagoonhinge_ctl.accepted_source import AcceptedSource, read_accepted_source
from lagoonhinge_ctl.apply_command import Apply
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.options import (
    FolderArg,
    JsonArg,
    PlatformArg,
    check_platform,
    exit_with_error,
)
from lagoonhinge_ctl.reports import print_json
from lagoonhinge_ctl.source_files import load_checked_source
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session


@dataclass(frozen=True)
class CheckReport:
    """A configuration without errors."""

    digest: str
    sites: tuple[str, ...]


async def _fetch_accepted(platform_url: str) -> AcceptedSource:
    async with open_session() as session:
        return await read_accepted_source(HttpPlatform(session, platform_url))


def _source_files(source: ConfigSource) -> dict[str, str]:
    files = {BASE_FILE: source.base}
    for site, text in sorted(source.sites.items()):
        files[overlay_file(site)] = text
    return files


@command(
    name="check",
    epilog="Example: lagoonctl config check examples",
)
@dataclass
class Check:
    """Check a configuration without applying it; prints every error."""

    folder: FolderArg
    json: JsonArg = False

    def __call__(self) -> None:
        """Run the command."""
        source = load_checked_source(self.folder)
        report = CheckReport(source.digest(), tuple(sorted(source.sites)))
        if self.json:
            print_json(report)
        else:
            sites = ", ".join(report.sites) or "none"
            print(f"ok: sites {sites}; digest {report.digest}")


@command(
    name="show",
    epilog="Example: lagoonctl config show --platform-url http://HOST:PORT",
)
@dataclass
class Show:
    """Print the accepted configuration."""

    platform_url: PlatformArg
    json: JsonArg = False

    def __call__(self) -> None:
        """Run the command."""
        accepted = run(_fetch_accepted(check_platform(self.platform_url)))
        if accepted.change is None:
            exit_with_error(ExitCode.PLATFORM, "no configuration has been accepted yet")
        if self.json:
            print_json(accepted)
            return
        print(f"# version {accepted.change.version}, by {accepted.change.author}")
        print(f"# drained: {', '.join(accepted.source.drained) or 'none'}")
        for name, text in _source_files(accepted.source).items():
            print(f"# --- {name}\n{text}")


@command(
    name="diff",
    epilog="Example: lagoonctl config diff examples --platform-url http://HOST:PORT",
)
@dataclass
class Diff:
    """Print what applying a folder would change in the accepted files."""

    folder: FolderArg
    platform_url: PlatformArg

    def __call__(self) -> None:
        """Run the command."""
        new = _source_files(load_checked_source(self.folder))
        accepted = run(_fetch_accepted(check_platform(self.platform_url)))
        old = _source_files(accepted.source)
        for name in sorted(old.keys() | new.keys()):
            lines = unified_diff(
                old.get(name, "").splitlines(),
                new.get(name, "").splitlines(),
                f"accepted/{name}",
                f"new/{name}",
                lineterm="",
            )
            for line in lines:
                print(line)


@command(name="config")
@dataclass
class ConfigCommand:
    """Check, apply, show and compare the configuration."""

    subcommand: Subcommands[Check | Apply | Show | Diff]
