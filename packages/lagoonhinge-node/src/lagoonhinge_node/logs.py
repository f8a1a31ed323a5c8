"""Logs: short sentences with a fixed prefix for each part, as text or JSON lines."""

from logging import Formatter, LogRecord, getLogger
from sys import stdout
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
    def format(self, record: LogRecord) -> str:
        args = record.args if isinstance(record.args, tuple) else ()
        is_part = record.msg == FORMAT and len(args) == 4
        # A library's line has its logger's name for a part.
        part, request_id, sentence, inputs = (
            args if is_part else (record.name, "-", None, {})
        )
        line = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": part,
            "request_id": request_id,
            "message": record.getMessage() if sentence is None else sentence,
        }
        assert isinstance(inputs, dict)
        line.update((name, _shown(value)) for name, value in inputs.items())
        return json.encode(line).decode()


def _shown(value: Any) -> Any:
    if isinstance(value, float):
        # JSON has no infinity.
        return round(value, 4) if abs(value) < float("inf") else str(value)
    return value


def set_up_logs(level: str, as_json: bool, to_stdout: bool = False) -> None:
    """Direct all logs to one stream in the chosen form.

    Args:
        level: One of `LEVELS`.
        as_json: Whether to write one JSON object a line.
        to_stdout: Whether to write to standard output and not to standard error.
    """
    # absl's own flags are not used; unparsed, they cost a line that is not JSON.
    FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    # With another stream, absl would write what reaches the threshold twice.
    logging.set_stderrthreshold(logging.FATAL if to_stdout else logging.DEBUG)
    if to_stdout:
        logging.get_absl_handler().python_handler.stream = stdout
    if as_json:
        logging.get_absl_handler().setFormatter(_JsonFormatter())
    # mode logs each service's life at info, without the prefix of a part, under its
    # own name and those of the services' modules.
    for name in ("mode", "lagoonhinge_node"):
        getLogger(name).setLevel("WARNING")
