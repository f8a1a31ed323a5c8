"""Reloads settings while the node runs, on a signal or when the file changes."""

from asyncio import get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from signal import SIGHUP

from mode import Service
from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.cold_upstreams import ColdBound
from lagoonhinge_core.forwarding.freshness import FreshnessLimits
from lagoonhinge_core.forwarding.hedging import HedgeBound
from lagoonhinge_core.forwarding.retry_window import RetryBound
from lagoonhinge_node.addresses import SettingError
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.forwarding.task_guards import guarded_timer
from lagoonhinge_node.logs import PartLogger

CHECK_INTERVAL_S = 1.0  # the file may change without a signal


@dataclass(frozen=True)
class LiveSettings:
    """Settings that may change while the node runs.

    Attributes:
        freshness: Limits on the age of the configuration.
        grace_s: Time from the stop signal until the process is killed, in seconds.
        retries: Retry budget over all nodes.
        cold: Requests that a cold upstream may get; `None` if they are not bounded.
        hedges: How many requests may be hedged; `None` for none.
    """

    freshness: FreshnessLimits
    grace_s: float
    retries: RetryBound
    cold: ColdBound | None = None
    hedges: HedgeBound | None = None


ReadSettings = Callable[[], Result[LiveSettings, tuple[SettingError, ...]]]


class SettingsController(Service):
    """Reloads the settings and puts them into force.

    Args:
        serving: State shared by all requests.
        read_settings: Read the settings.
        current: The settings in force.
    """

    def __init__(
        self, serving: ServingState, read_settings: ReadSettings, current: LiveSettings
    ):
        super().__init__()
        self.serving = serving
        self.read_settings = read_settings
        self.current = current
        self.logged_errors: tuple[SettingError, ...] = ()
        self.log_part = PartLogger("settings")

    async def on_start(self) -> None:
        """Put the settings into force, and install the signal handler."""
        self.serving.set_cold_bound(self.current.cold)
        self.serving.hedges.set_bound(self.current.hedges)
        get_running_loop().add_signal_handler(SIGHUP, self._on_signal)

    @Service.timer(CHECK_INTERVAL_S)
    @guarded_timer
    async def check_for_changes(self) -> None:
        """Reload the settings, which may have changed without a signal."""
        self.reload()

    def reload(self) -> None:
        """Put changed settings into force; keep the current ones if these are wrong."""
        match self.read_settings():
            case Success(settings) if settings != self.current:
                self.current = settings
                self.logged_errors = ()
                self.serving.freshness.limits = settings.freshness
                self.serving.set_retry_bound(settings.retries)
                self.serving.set_cold_bound(settings.cold)
                self.serving.hedges.set_bound(settings.hedges)
                self.log_part.info("Settings are in force.", settings=repr(settings))
            case Failure(errors) if errors != self.logged_errors:
                self.logged_errors = errors
                for error in errors:
                    self.log_part.error("Bad setting; kept the old.", error=str(error))
            case _:
                return

    def _on_signal(self) -> None:
        self.log_part.info("Received SIGHUP; reloading the settings.")
        self.reload()
