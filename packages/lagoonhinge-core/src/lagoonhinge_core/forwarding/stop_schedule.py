"""When a node that was told to stop takes, refuses and ends requests."""

from dataclasses import dataclass

# Time until the load balancer detects that the node is not ready, in seconds: two
# checks one second apart, and one second for their answers.
LOAD_BALANCER_DELAY_S = 3.0
# The stop signal reaches a busy process late; a request that its caller sent after the
# delay must not be taken for an earlier one.
SIGNAL_MARGIN_S = 0.5
EXIT_MARGIN_S = 1.2  # for the exit of the process before it is killed
END_MARGIN_S = 0.1  # for the answers to requests that are ended before that
# A request that was sent before the load balancer's delay may be ended in the last part
# of the grace period, and not sooner.
LAST_PART = 1 / 6


@dataclass(frozen=True)
class StopSchedule:
    """Times of a planned stop, in seconds of the node's clock.

    Attributes:
        late_s: Requests that arrive later are taken only if they end in time.
        close_s: When listeners and idle connections are closed.
        end_s: When the requests that still run are ended.
        exit_s: When the process stops waiting for them.
    """

    late_s: float
    close_s: float
    end_s: float
    exit_s: float

    def may_take(self, arrived_s: float, deadline_s: float) -> bool:
        """Return whether to take a request, which the stop may otherwise break off.

        Args:
            arrived_s: When its head arrived, in seconds.
            deadline_s: When it ends at the latest, in seconds.
        """
        return arrived_s <= self.late_s or deadline_s <= self.end_s


def plan_stop(now_s: float, grace_s: float) -> StopSchedule:
    """Return the times of a stop.

    Args:
        now_s: The time at which the node was told to stop, in seconds.
        grace_s: Time until the process is killed, in seconds.
    """
    delay_s = min(LOAD_BALANCER_DELAY_S, grace_s / 2)
    margin_s = EXIT_MARGIN_S + END_MARGIN_S
    shortening = min(1.0, grace_s * LAST_PART / margin_s)
    end_s = now_s + grace_s - margin_s * shortening
    return StopSchedule(
        now_s + max(0.0, delay_s - SIGNAL_MARGIN_S),
        now_s + delay_s,
        end_s,
        end_s + END_MARGIN_S * shortening,
    )
