"""The `lagoonctl explain` command."""

from dataclasses import dataclass
from pathlib import Path
from sys import stderr
from typing import Annotated

from cappa import Arg, command

from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.log_files import LogLine, read_logs
from lagoonhinge_ctl.options import JsonArg, stop
from lagoonhinge_ctl.reports import print_json
from lagoonhinge_ctl.request_story import Story, tell_story


@command(
    name="explain",
    epilog="Example: lagoonctl explain 8c33d069ab01 logs/*.log",
)
@dataclass
class Explain:
    """Print a request's story across nodes, and what these believed at the time."""

    request_id: Annotated[str, Arg(help="Identity of the client attempt.")]
    files: Annotated[
        list[Path], Arg(num_args=-1, required=True, help="Log files of the nodes.")
    ]
    json: JsonArg = False

    def __call__(self) -> None:
        """Run the command."""
        try:
            logs = read_logs(self.files)
        except OSError as error:
            stop(ExitCode.USAGE, f"{error.filename}: {error.strerror}")
        if logs.unreadable:
            print(f"{logs.unreadable} lines are no log lines", file=stderr)
        story = tell_story(self.request_id, logs.lines)
        if story is None:
            stop(ExitCode.NOT_FOUND, f"no line has the request {self.request_id!r}")
        if self.json:
            print_json(story)
        else:
            _print_story(story)


def _print_story(story: Story) -> None:
    first_s = story.lines[0].at_s
    print(f"request {story.request_id}")
    for line in story.lines:
        print(_shown(line, first_s))
    print(f"cause: {story.cause}")
    print("what the nodes believed:")
    for line in story.beliefs:
        print(_shown(line, first_s))


def _shown(line: LogLine, first_s: float) -> str:
    inputs = "".join(f" {name}={value}" for name, value in line.inputs.items())
    at_s = line.at_s - first_s
    return f"  {at_s:+9.3f} s  {line.node}  {line.part}: {line.message}{inputs}"
