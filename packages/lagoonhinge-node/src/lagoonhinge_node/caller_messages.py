"""Message bodies of the API for callers, in the format of the OpenAI API."""

from dataclasses import dataclass
from typing import TypeAlias

from msgspec import Struct

from lagoonhinge_core.engine_messages import Sampling


class CompletionFields(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Fields common to both kinds of completion.

    A `Struct`, as msgspec rejects unknown fields only for those, not for data classes.
    """

    model: str
    max_tokens: int = 256
    stream: bool = False
    seed: int | None = None
    temperature: float = 1.0
    top_p: float = 1.0
    stop: tuple[str, ...] = ()
    user: str = ""

    def sampling(self) -> Sampling:
        """Return the sampling parameters."""
        return Sampling(self.temperature, self.top_p, self.stop)


class CompletionBody(
    CompletionFields, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Body of `POST /v1/completions`."""

    prompt: str

    def prompt_text(self) -> str:
        """Return the prompt."""
        return self.prompt


@dataclass(frozen=True)
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str


class ChatBody(CompletionFields, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Body of `POST /v1/chat/completions`."""

    messages: tuple[ChatMessage, ...]

    def prompt_text(self) -> str:
        """Return the messages as one prompt."""
        lines = [f"{message.role}: {message.content}\n" for message in self.messages]
        return "".join(lines) + "assistant: "


@dataclass(frozen=True)
class ErrorBody:
    """Description of a failure."""

    code: str
    outcome: str
    message: str
    request_id: str


@dataclass(frozen=True)
class ErrorAnswer:
    """Body of every error answer."""

    error: ErrorBody


@dataclass(frozen=True)
class UsageBody:
    """Tokens counted by the engine."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(frozen=True)
class TextChoice:
    """The text of a completion or of one of its chunks."""

    index: int
    text: str
    finish_reason: str | None


@dataclass(frozen=True)
class ChatChoice:
    """The message of a chat completion."""

    index: int
    message: ChatMessage
    finish_reason: str | None


@dataclass(frozen=True)
class DeltaText:
    """The next text of a chat message."""

    content: str


@dataclass(frozen=True)
class ChatDelta:
    """One chunk of a chat completion."""

    index: int
    delta: DeltaText
    finish_reason: str | None


Choice: TypeAlias = TextChoice | ChatChoice | ChatDelta


@dataclass(frozen=True)
class CompletionAnswer:
    """Body of a completion or of one of its events."""

    id: str
    object: str
    model: str
    choices: tuple[Choice, ...]
    usage: UsageBody | None = None
