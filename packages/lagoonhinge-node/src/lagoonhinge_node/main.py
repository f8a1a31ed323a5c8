"""Entry point of the `lagoonhinge` binary."""

from sys import exit, stderr

from cappa import parse
from mode import Worker
from returns.result import Failure, Success

from lagoonhinge_node.logs import set_up_logs
from lagoonhinge_node.node import LONGEST_REQUEST_S, Node
from lagoonhinge_node.settings import RawSettings

EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Check the settings and run the node until it is told to stop."""
    match parse(RawSettings).check():
        case Failure(errors):
            for error in errors:
                print(error, file=stderr)
            exit(EXIT_BAD_SETTINGS)
        case Success(settings):
            set_up_logs(settings.log_level, settings.log_json)
            worker = Worker(
                Node(settings),
                override_logging=False,
                loglevel=None,
                redirect_stdouts=False,
                quiet=True,
                daemon=True,
            )
            worker.shutdown_timeout = LONGEST_REQUEST_S
            worker.execute_from_commandline()


if __name__ == "__main__":
    main()
