"""Entry point of the `lagoonctl` binary."""

from dataclasses import dataclass

from cappa import Subcommands, command, invoke

from lagoonhinge_ctl.config_commands import ConfigCommand
from lagoonhinge_ctl.drain_commands import Drain, Undrain
from lagoonhinge_ctl.explain_command import Explain
from lagoonhinge_ctl.node_commands import Nodes, State
from lagoonhinge_ctl.place_command import Place

EXIT_CODES = """\
Exit codes: 0 success; 2 bad usage; 3 bad configuration; 4 another change was accepted
first; 5 the platform did not say whether the change was accepted; 6 the platform was
not reached; 7 not in force on every node; 8 a node did not answer; 9 no log has the
request, or no route or client account is known.\
"""


@command(name="lagoonctl", epilog=EXIT_CODES)
@dataclass
class Lagoonctl:
    """Operate a lagoonhinge fleet."""

    subcommand: Subcommands[
        ConfigCommand | State | Nodes | Drain | Undrain | Explain | Place
    ]


def main() -> None:
    """Run the command line."""
    invoke(Lagoonctl)


if __name__ == "__main__":
    main()
