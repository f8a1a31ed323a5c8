"""What a model request has been through, over all of its attempts."""

from dataclasses import dataclass, field

from lagoonhinge_core.answer_text import AnswerText
from lagoonhinge_core.outcome import Failure as RequestFailure
from lagoonhinge_core.outcome import Outcome


@dataclass
class RequestState:
    """What the request has been through; changes with each attempt.

    Attributes:
        text: Text given to the sink.
        attempts: Attempts made.
        outcome: What is known about their execution.
        tried: Upstreams that had one.
        unusable: Those among them that cannot take another now.
        failure: Failure to give if no upstream can take another attempt.
    """

    text: AnswerText = field(default_factory=AnswerText)
    attempts: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    tried: frozenset[str] = frozenset()
    unusable: frozenset[str] = frozenset()
    failure: RequestFailure | None = None
