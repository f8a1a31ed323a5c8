"""Runs a root service as a process."""

from mode import Worker
from mode.types import ServiceT

from lagoonhinge_node.listener import MAX_STOP_S


def run_service(service: ServiceT) -> None:
    """Run a service until the process is told to stop, and let it finish its work."""
    worker = Worker(
        service,
        override_logging=False,
        loglevel=None,
        redirect_stdouts=False,
        quiet=True,
        daemon=True,
    )
    worker.shutdown_timeout = MAX_STOP_S
    worker.execute_from_commandline()
