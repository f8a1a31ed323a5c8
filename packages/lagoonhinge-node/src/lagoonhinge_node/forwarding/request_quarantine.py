"""Refusal of requests that crash upstreams, and the trials of those that may."""

from asyncio import sleep
from http import HTTPStatus

from returns.result import Failure, Result, Success

from lagoonhinge_core.forwarding.crash_trials import CLAIM_S, MAX_TURN_WAIT_S
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.request_context import Refusal, RequestContext
from lagoonhinge_node.forwarding.request_ending import SHORT_RETRY_AFTER_S
from lagoonhinge_node.forwarding.serving_state import ServingState
from lagoonhinge_node.logs import PartLogger

TURN_POLL_INTERVAL_S = 0.05


class RequestQuarantine:
    """Admits requests that are not in quarantine, or are tried.

    Args:
        serving: State shared by all requests.
        metrics: The metrics.
    """

    def __init__(self, serving: ServingState, metrics: ForwardingMetrics):
        self.serving = serving
        self.metrics = metrics
        self.log_part = PartLogger("callers")

    def admit(self, context: RequestContext) -> Result[RequestContext, Refusal]:
        """Refuse a request in quarantine, or claim its trial if one is due."""
        crashes, now_s = self.serving.crashes, self.serving.clock()
        if not context.quarantine_s(crashes, now_s):
            return Success(context)
        if crashes.trial_due_in_s(context.crash_causes, now_s) == 0:
            context.is_trial = True
            crashes.claim_trial(context.crash_causes, now_s)
            return Success(context)
        return Failure(self._refusal(context))

    async def begin_trial(self, context: RequestContext) -> Refusal | None:
        """Wait until a request whose trial was claimed may be tried.

        Returns:
            `None` if it is sent now, also if it is no trial or no longer in quarantine;
            its refusal if another trial goes first.
        """
        if not context.is_trial:
            return None
        await sleep(CLAIM_S)
        crashes = self.serving.crashes
        end_s = self.serving.clock() + MAX_TURN_WAIT_S
        while True:
            now_s = self.serving.clock()
            if not context.quarantine_s(crashes, now_s):
                context.is_trial = False
                return None
            if crashes.may_begin_trial(context.crash_causes, now_s):
                break
            if now_s >= end_s:
                self.metrics.crash_trials.labels("left").inc()
                return self._refusal(context)
            await sleep(TURN_POLL_INTERVAL_S)
        self.metrics.crash_trials.labels("begun").inc()
        self.log_part.warning(
            "Trying a request to tell what crashes upstreams.",
            context.request.request_id,
            causes=self._causes(context),
            not_on=sorted(crashes.trial_instances(now_s)),
        )
        return None

    def _refusal(self, context: RequestContext) -> Refusal:
        crashes, now_s = self.serving.crashes, self.serving.clock()
        quarantine_s = context.quarantine_s(crashes, now_s)
        trial_s = crashes.trial_due_in_s(context.crash_causes, now_s)
        reason = f"requests like it crash upstreams: {self._causes(context)}"
        retry_after_s = quarantine_s if trial_s is None else trial_s
        retry_after_s = max(retry_after_s, SHORT_RETRY_AFTER_S)
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s)

    def _causes(self, context: RequestContext) -> list[list[str]]:
        """Return the causes for which a request is in quarantine."""
        present = context.crash_causes.all()
        causes = self.serving.crashes.quarantined(self.serving.clock())
        return [sorted(cause) for cause in causes if cause <= present]
