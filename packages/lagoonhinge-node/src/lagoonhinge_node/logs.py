"""Logs: short sentences with a fixed prefix for each part, as text or JSON lines."""

from logging import Formatter, LogRecord, getLogger

from absl import logging
from absl.flags import FLAGS
from msgspec import json

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class PartLogger:
    """Writes the log lines of one part.

    Args:
        part: Fixed prefix, such as `config`.
    """

    def __init__(self, part: str):
        self.part = part

    def info(self, sentence: str, request_id: str = "-") -> None:
        """Log a normal event."""
        logging.info("[%s] [%s] %s", self.part, request_id, sentence)

    def warning(self, sentence: str, request_id: str = "-") -> None:
        """Log an event that an operator may want to look at."""
        logging.warning("[%s] [%s] %s", self.part, request_id, sentence)

    def error(self, sentence: str, request_id: str = "-") -> None:
        """Log an event that an operator should look at."""
        logging.error("[%s] [%s] %s", self.part, request_id, sentence)


class _JsonFormatter(Formatter):
    def format(self, record: LogRecord) -> str:
        args = record.args if isinstance(record.args, tuple) else ()
        is_part = record.msg == "[%s] [%s] %s" and len(args) == 3
        # A library's line has its logger's name for a part.
        part, request_id, sentence = args if is_part else (record.name, "-", None)
        line = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": part,
            "request_id": request_id,
            "message": record.getMessage() if sentence is None else sentence,
        }
        return json.encode(line).decode()


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
    # mode logs each service's life at info, without the prefix of a part, under its
    # own name and those of the services' modules.
    for name in ("mode", "lagoonhinge_node"):
        getLogger(name).setLevel("WARNING")
