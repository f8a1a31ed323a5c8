"""The `lagoonctl explain` command."""

from dataclasses import dataclass
from pathlib import Path
from sys import stderr
from typing import Annotated

from cappa import Arg, command

from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.log_files import LogLine, read_logs
from lagoonhinge_ctl.options import JsonArg, exit_with_error
from lagoonhinge_ctl.reports import print_json
from lagoonhinge_ctl.request_timeline import RequestTimeline, build_timeline


@command(
    name="explain",
    epilog="Example: lagoonctl explain 8c33d069ab01 logs/*.log",
)
@dataclass
class Explain:
    """Print a request's log lines from all nodes, and the nodes' state at the time."""

    request_id: Annotated[str, Arg(help="Request ID.")]
    files: Annotated[
        list[Path], Arg(num_args=-1, required=True, help="Log files of the nodes.")
    ]
    json: JsonArg = False

    def __call__(self) -> None:
        """Run the command."""
        try:
            logs = read_logs(self.files)
        except OSError as error:
            exit_with_error(ExitCode.USAGE, f"{error.filename}: {error.strerror}")
        if logs.unreadable:
            print(f"{logs.unreadable} lines are not log lines", file=stderr)
        timeline = build_timeline(self.request_id, logs.lines)
        if timeline is None:
            exit_with_error(
                ExitCode.NOT_FOUND, f"no log line has the request {self.request_id!r}"
            )
        if self.json:
            print_json(timeline)
        else:
            _print_timeline(timeline)


def _print_timeline(timeline: RequestTimeline) -> None:
    first_s = timeline.lines[0].at_s
    print(f"request {timeline.request_id}")
    for line in timeline.lines:
        print(_format_line(line, first_s))
    print(f"cause: {timeline.cause}")
    print("state of the nodes at the time:")
    for line in timeline.beliefs:
        print(_format_line(line, first_s))


def _format_line(line: LogLine, first_s: float) -> str:
    inputs = "".join(f" {name}={value}" for name, value in line.inputs.items())
    offset_s = line.at_s - first_s
    return f"  {offset_s:+9.3f} s  {line.node}  {line.part}: {line.message}{inputs}"
