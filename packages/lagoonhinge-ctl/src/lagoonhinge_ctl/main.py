"""Entry point of the `lagoonctl` binary."""

from dataclasses import dataclass

from cappa import Subcommands, command, invoke

from lagoonhinge_ctl.config_commands import ConfigCommand
from lagoonhinge_ctl.node_commands import State


@command(name="lagoonctl")
@dataclass
class Lagoonctl:
    """Operate a lagoonhinge fleet."""

    subcommand: Subcommands[ConfigCommand | State]


def main() -> None:
    """Run the command line."""
    invoke(Lagoonctl)


if __name__ == "__main__":
    main()
