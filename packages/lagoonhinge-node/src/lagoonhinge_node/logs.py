"""Logs: short sentences with a fixed prefix for each part, as text or JSON lines."""

from collections.abc import Callable
from functools import partial
from logging import Formatter, Handler, LogRecord, getLogger
from logging.handlers import QueueHandler, QueueListener
from os import write
from queue import Full, Queue
from time import monotonic, sleep
from typing import Any

from absl import logging
from absl.flags import FLAGS
from msgspec import json

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
STDOUT = 1  # file descriptor
FLUSH_LIMIT_S = 0.3  # a part of the time that a stopping node keeps for its own end
FLUSH_CHECK_S = 0.01
MAX_QUEUED_LINES = 10_000  # some seconds of a node's lines at full load
FORMAT = "[%s] [%s] %s%s"


class Inputs(dict[str, Any]):
    """What decided an event, shown behind its sentence."""

    def __str__(self) -> str:
        """Return the inputs as text."""
        return "".join(f" {name}={_shown(value)}" for name, value in self.items())


class PartLogger:
    """Writes the log lines of one part.

    Args:
        part: Fixed prefix, such as `config`.
    """

    def __init__(self, part: str):
        self.part = part

    def info(self, sentence: str, request_id: str = "-", **inputs: Any) -> None:
        """Log a normal event with the inputs that decided it."""
        logging.info(FORMAT, self.part, request_id, sentence, Inputs(inputs))

    def warning(self, sentence: str, request_id: str = "-", **inputs: Any) -> None:
        """Log an event that an operator may want to look at."""
        logging.warning(FORMAT, self.part, request_id, sentence, Inputs(inputs))

    def error(self, sentence: str, request_id: str = "-", **inputs: Any) -> None:
        """Log an event that an operator should look at."""
        logging.error(FORMAT, self.part, request_id, sentence, Inputs(inputs))


class _JsonFormatter(Formatter):
    def __init__(self, node: str = ""):
        super().__init__()
        self.named = {"node": node} if node else {}

    def format(self, record: LogRecord) -> str:
        args = record.args if isinstance(record.args, tuple) else ()
        is_part = record.msg == FORMAT and len(args) == 4
        # A library's line has its logger's name for a part.
        part, request_id, sentence, inputs = (
            args if is_part else (record.name, "-", None, {})
        )
        line = {
            "time_s": round(record.created, 3),
            **self.named,
            "level": record.levelname.lower(),
            "part": part,
            "request_id": request_id,
            "message": record.getMessage() if sentence is None else sentence,
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        assert isinstance(inputs, dict)
        line.update((name, _shown(value)) for name, value in inputs.items())
        return json.encode(line).decode()


def _shown(value: Any) -> Any:
    if isinstance(value, float):
        # JSON has no infinity.
        return round(value, 4) if abs(value) < float("inf") else str(value)
    return value


class _DroppingQueueHandler(QueueHandler):
    """Queues records for a thread that writes them; drops them if it is behind.

    A reader of the stream that is slow or stopped must never hold up a request.
    """

    def __init__(self, lines: Queue[LogRecord]):
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: LogRecord) -> LogRecord:
        return record

    def enqueue(self, record: LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            logging.warning(
                FORMAT, "logs", "-", "Lines were dropped.", Inputs(count=dropped)
            )


class _DescriptorHandler(Handler):
    """Writes to a file descriptor, without a lock that a blocked write would hold."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor

    def createLock(self) -> None:
        # Only one thread writes; the end of the process would wait for its lock.
        self.lock = None

    def emit(self, record: LogRecord) -> None:
        data = f"{self.format(record)}\n".encode()
        while data:
            data = data[write(self.descriptor, data) :]


def set_up_logs(level: str, as_json: bool) -> None:
    """Direct all logs to standard error in the chosen form.

    Args:
        level: One of `LEVELS`.
        as_json: Whether to write one JSON object a line.
    """
    # absl's own flags are not used; unparsed, they cost a line that is not JSON.
    FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(logging.DEBUG)
    if as_json:
        logging.get_absl_handler().setFormatter(_JsonFormatter())
    _quieten_mode()


def set_up_queued_logs(level: str, node: str) -> Callable[[], None]:
    """Direct all logs to standard output as JSON lines, written by a thread.

    Args:
        level: One of `LEVELS`.
        node: Name of the node, which each line bears.

    Returns:
        Function that waits for the queued lines, but not for a reader that stopped.
    """
    FLAGS.mark_as_parsed()
    logging.set_verbosity(LEVELS[level])
    writer = _DescriptorHandler(STDOUT)
    writer.setFormatter(_JsonFormatter(node))
    lines: Queue[LogRecord] = Queue(MAX_QUEUED_LINES)
    root = getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_DroppingQueueHandler(lines))
    _quieten_mode()
    # Its thread is a daemon, which does not hold up the end of the process.
    QueueListener(lines, writer).start()
    return partial(_flush, lines)


def _flush(lines: Queue[LogRecord]) -> None:
    until_s = monotonic() + FLUSH_LIMIT_S
    while not lines.empty() and monotonic() < until_s:
        sleep(FLUSH_CHECK_S)


def _quieten_mode() -> None:
    # mode logs each service's life at info, without the prefix of a part, under its
    # own name and those of the services' modules.
    for name in ("mode", "lagoonhinge_node"):
        getLogger(name).setLevel("WARNING")
