"""State of a model request over all of its attempts."""

from dataclasses import dataclass, field

from lagoonhinge_core.answer_text import AnswerText
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.outcome import Outcome


@dataclass
class RequestState:
    """State of a request, updated by each attempt.

    Attributes:
        text: Text written to the sink.
        attempts: Number of attempts.
        outcome: Combined outcome of the attempts.
        tried: Upstreams of the failed attempts.
        unusable: Those of them that cannot take another attempt now.
        failure: Failure to return if no upstream can take another attempt.
    """

    text: AnswerText = field(default_factory=AnswerText)
    attempts: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    tried: frozenset[str] = frozenset()
    unusable: frozenset[str] = frozenset()
    failure: RequestFailure | None = None
