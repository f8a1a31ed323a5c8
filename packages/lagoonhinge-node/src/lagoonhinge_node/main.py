"""Entry point of the `lagoonhinge` binary."""

from sys import exit, stderr

from cappa import parse
from returns.result import Failure, Success

from lagoonhinge_node.listener import bind
from lagoonhinge_node.logs import set_up_logs
from lagoonhinge_node.node import Node, NodeSockets
from lagoonhinge_node.run_service import run_service
from lagoonhinge_node.settings import NodeSettings, RawSettings

EXIT_BAD_SETTINGS = 2
EXIT_NO_LISTENER = 3


def bind_all(settings: NodeSettings) -> NodeSockets:
    """Return the listening sockets; print all bad addresses and exit if any."""
    callers = bind(settings.listen)
    control = bind(settings.control_listen)
    errors = [f.failure() for f in (callers, control) if isinstance(f, Failure)]
    if errors:
        for error in errors:
            print(error, file=stderr)
        exit(EXIT_NO_LISTENER)
    return NodeSockets(callers.unwrap(), control.unwrap())


def main() -> None:
    """Check the settings and run the node until it receives a stop signal."""
    match parse(RawSettings).check():
        case Failure(errors):
            for error in errors:
                print(error, file=stderr)
            exit(EXIT_BAD_SETTINGS)
        case Success(settings):
            set_up_logs(settings.log_level, settings.log_json)
            run_service(Node(settings, bind_all(settings)))


if __name__ == "__main__":
    main()
