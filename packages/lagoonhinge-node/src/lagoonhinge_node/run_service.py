"""Run a root service as a process."""

from mode import Worker
from mode.types import ServiceT

from lagoonhinge_node.listener import MAX_STOP_S


def run_service(service: ServiceT) -> None:
    """Run a service until a stop signal, and wait until the service has stopped."""
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
