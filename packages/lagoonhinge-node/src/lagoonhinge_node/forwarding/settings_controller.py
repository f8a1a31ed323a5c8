"""Takes changed settings while the node runs, on a signal or when the file changes."""

from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from signal import SIGHUP

from mode import Service
from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.freshness import FreshnessLimits
from lagoonhinge_core.forwarding.retry_window import RetryBound
from lagoonhinge_node.addresses import SettingError
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

CHECK_INTERVAL_S = 1.0  # the file may change without a signal


@dataclass(frozen=True)
class LiveSettings:
    """Settings that may change while the node runs.

    Attributes:
        freshness: Ages up to which a configuration can be relied on.
        grace_s: Time from the signal to stop until the process is killed, in seconds.
        retries: Bound on repeated sends over all nodes.
    """

    freshness: FreshnessLimits
    grace_s: float
    retries: RetryBound


ReadSettings = Callable[[], Result[LiveSettings, tuple[SettingError, ...]]]


class SettingsController(Service):
    """Reads the settings again and puts them into force.

    Args:
        state: What all requests share.
        read: Reads the settings.
        known: The settings in force.
    """

    def __init__(self, state: ServingState, read: ReadSettings, known: LiveSettings):
        super().__init__()
        self.serving = state
        self.read = read
        self.known = known
        self.refused: tuple[SettingError, ...] = ()
        self.log_part = PartLogger("settings")

    async def on_start(self) -> None:
        """Listen for the signal."""
        get_running_loop().add_signal_handler(SIGHUP, self._on_signal)

    @Service.timer(CHECK_INTERVAL_S)
    async def check(self) -> None:
        """Take the settings if they changed."""
        self.reload()

    def reload(self) -> None:
        """Take the settings; keeps the known ones if the new ones are wrong."""
        match self.read():
            case Success(settings) if settings != self.known:
                self.known = settings
                self.refused = ()
                self.serving.freshness.limits = settings.freshness
                self.serving.set_retry_bound(settings.retries)
                self.log_part.info("Settings are in force.", settings=repr(settings))
            case Failure(errors) if errors != self.refused:
                self.refused = errors
                for error in errors:
                    self.log_part.error("Bad setting; kept the old.", error=str(error))
            case _:
                return

    def _on_signal(self) -> None:
        self.log_part.info("Told to reload.")
        self.reload()
