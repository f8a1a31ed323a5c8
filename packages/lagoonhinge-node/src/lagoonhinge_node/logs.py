"""Logging: short sentences with the name of the part, as text or JSON lines."""

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
FLUSH_TIMEOUT_S = 0.3  # less than the margin that a stopping node keeps to exit
FLUSH_POLL_S = 0.01
MAX_QUEUED_RECORDS = 10_000  # several seconds of records at full load
FORMAT = "[%s] [%s] %s%s"


class LogFields(dict[str, Any]):
    """Key-value pairs that are appended to a log message."""

    def __str__(self) -> str:
        """Return the fields as text."""
        return "".join(f" {name}={_json_value(value)}" for name, value in self.items())


class PartLogger:
    """Writes the log records of one part.

    Args:
        part: Name of the part, such as `config`.
    """

    def __init__(self, part: str):
        self.part = part

    def info(self, message: str, request_id: str = "-", **fields: Any) -> None:
        """Log a normal event with the values behind it."""
        logging.info(FORMAT, self.part, request_id, message, LogFields(fields))

    def warning(self, message: str, request_id: str = "-", **fields: Any) -> None:
        """Log an event that an operator may want to look at."""
        logging.warning(FORMAT, self.part, request_id, message, LogFields(fields))

    def error(self, message: str, request_id: str = "-", **fields: Any) -> None:
        """Log an event that an operator should look at."""
        logging.error(FORMAT, self.part, request_id, message, LogFields(fields))


class _JsonFormatter(Formatter):
    def __init__(self, node: str = ""):
        super().__init__()
        self.node_field = {"node": node} if node else {}

    def format(self, record: LogRecord) -> str:
        args = record.args if isinstance(record.args, tuple) else ()
        has_part = record.msg == FORMAT and len(args) == 4
        # Use the logger's name as the part of a library's line.
        part, request_id, message, fields = (
            args if has_part else (record.name, "-", None, {})
        )
        line = {
            "time_s": round(record.created, 3),
            **self.node_field,
            "level": record.levelname.lower(),
            "part": part,
            "request_id": request_id,
            "message": record.getMessage() if message is None else message,
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        assert isinstance(fields, dict)
        line.update((name, _json_value(value)) for name, value in fields.items())
        return json.encode(line).decode()


def _json_value(value: Any) -> Any:
    if isinstance(value, float):
        # JSON has no infinity.
        return round(value, 4) if abs(value) < float("inf") else str(value)
    return value


class _DroppingQueueHandler(QueueHandler):
    """Queues records for a writer thread; drops them while the queue is full.

    A slow or stopped reader of the stream must not block a request.
    """

    def __init__(self, records: Queue[LogRecord]):
        super().__init__(records)
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
                FORMAT,
                "logs",
                "-",
                "Log lines were dropped because the queue was full.",
                LogFields(count=dropped),
            )


class _DescriptorHandler(Handler):
    """Writes to a file descriptor without a lock, which a blocked write would hold."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor

    def createLock(self) -> None:
        # Only one thread writes, and process exit would wait for the lock.
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
    # absl's flags are not used, but unparsed flags make it print a line in plain text.
    FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(logging.DEBUG)
    if as_json:
        logging.get_absl_handler().setFormatter(_JsonFormatter())
    _limit_mode_logging()


def set_up_queued_logs(level: str, node: str) -> Callable[[], None]:
    """Direct all logs to standard output as JSON lines, written by a thread.

    Args:
        level: One of `LEVELS`.
        node: Name of the node, included in each line.

    Returns:
        Function that flushes the queued records, up to a time limit if the reader
            has stopped.
    """
    FLAGS.mark_as_parsed()
    logging.set_verbosity(LEVELS[level])
    writer = _DescriptorHandler(STDOUT)
    writer.setFormatter(_JsonFormatter(node))
    records: Queue[LogRecord] = Queue(MAX_QUEUED_RECORDS)
    root = getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_DroppingQueueHandler(records))
    _limit_mode_logging()
    # The thread is a daemon, so it does not delay process exit.
    QueueListener(records, writer).start()
    return partial(_flush, records)


def _flush(records: Queue[LogRecord]) -> None:
    deadline_s = monotonic() + FLUSH_TIMEOUT_S
    while not records.empty() and monotonic() < deadline_s:
        sleep(FLUSH_POLL_S)


def _limit_mode_logging() -> None:
    # mode logs the start and stop of each service at info, without a part, under its
    # own name and those of the services' modules.
    for name in ("mode", "lagoonhinge_node"):
        getLogger(name).setLevel("WARNING")
