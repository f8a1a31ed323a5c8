"""Exit codes of `lagoonctl`; 0 is success."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a non-zero exit means."""

    USAGE = 2
    BAD_CONFIG = 3
    CONFLICT = 4
    UNDECIDED = 5
    PLATFORM = 6
    NOT_EVERYWHERE = 7
    NODE_SILENT = 8
    NOT_FOUND = 9
