"""Exit codes of `lagoonctl`."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a non-zero exit means."""

    BAD_CONFIG = 2
    CONFLICT = 3
    UNDECIDED = 4
    PLATFORM = 5
    NOT_EVERYWHERE = 6
    NODE_SILENT = 7
