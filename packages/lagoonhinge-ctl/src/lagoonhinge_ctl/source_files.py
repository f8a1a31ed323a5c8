"""Read the configuration's files from a folder."""

from pathlib import Path

from returns.result import Failure, Result, Success

from lagoonhinge_core.config_decode import ConfigError
from lagoonhinge_core.config_load import BASE_FILE, ConfigSource, check_source
from lagoonhinge_ctl.exit_codes import ExitCode
from lagoonhinge_ctl.options import exit_with_error

SITES_FOLDER = "sites"


def read_source(folder: Path) -> Result[ConfigSource, tuple[ConfigError, ...]]:
    """Return `base.toml` and `sites/*.toml` of a folder, or why they can't be read."""
    base = folder / BASE_FILE
    overlays = sorted((folder / SITES_FOLDER).glob("*.toml"))
    texts: dict[Path, str] = {}
    errors: list[ConfigError] = []
    for path in (base, *overlays):
        try:
            texts[path] = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            errors.append(ConfigError(str(path), "(file)", str(error)))
    if errors:
        return Failure(tuple(errors))
    return Success(
        ConfigSource(texts[base], {path.stem: texts[path] for path in overlays})
    )


def load_checked_source(folder: Path) -> ConfigSource:
    """Return the checked source of a folder, or exit with every error found."""
    match read_source(folder):
        case Failure(errors):
            exit_with_error(ExitCode.BAD_CONFIG, _format_errors(errors))
        case Success(files):
            source: ConfigSource = files
    errors = check_source(source)
    if errors:
        exit_with_error(ExitCode.BAD_CONFIG, _format_errors(errors))
    return source


def _format_errors(errors: tuple[ConfigError, ...]) -> str:
    return "\n".join(str(error) for error in errors)
