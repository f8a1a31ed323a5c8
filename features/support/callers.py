"""Callers of a node, for tests and benchmarks."""

from dataclasses import dataclass

from msgspec import json

from features.support.fleet import HttpAnswer, Process, account_key, http

SEED = 7
EVENT_PREFIX = b"data: "
END_MARK = b"[DONE]"


@dataclass(frozen=True)
class Completion:
    """A completion request."""

    prompt: str
    max_tokens: int = 16
    is_chat: bool = False
    is_streamed: bool = False

    def body(self) -> bytes:
        """Return the request body."""
        if self.is_chat:
            content = {"messages": [{"role": "user", "content": self.prompt}]}
        else:
            content = {"prompt": self.prompt}
        return json.encode(
            {
                "model": "compliance",
                "max_tokens": self.max_tokens,
                "stream": self.is_streamed,
                "seed": SEED,
                **content,
            }
        )

    def path(self) -> str:
        """Return the path of the endpoint."""
        return "/v1/chat/completions" if self.is_chat else "/v1/completions"


def post_completion(
    node: Process,
    completion: Completion,
    account: str = "tube-mills",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> HttpAnswer:
    """Send a completion and return the complete answer."""
    return http(
        "POST",
        node.url + completion.path(),
        completion.body() if body is None else body,
        {"Authorization": f"Bearer {account_key(account)}", **(headers or {})},
        timeout_s,
    )


def completion_text(completion: Completion, answer: HttpAnswer) -> str:
    """Return the text of a complete answer; fails if a stream lacks its end mark."""
    if not completion.is_streamed:
        choice = answer.json()["choices"][0]
        return choice["message"]["content"] if completion.is_chat else choice["text"]
    events = [
        line.removeprefix(EVENT_PREFIX) for line in answer.body.split(b"\n") if line
    ]
    assert events[-1] == END_MARK, answer
    choices = [json.decode(event)["choices"][0] for event in events[:-1]]
    if completion.is_chat:
        return "".join(choice["delta"]["content"] for choice in choices)
    return "".join(choice["text"] for choice in choices)


def send_plain(
    node: Process,
    method: str,
    path: str,
    body: bytes | None,
    key: str | None,
    account: str = "tube-mills",
    service: str = "registry",
    timeout_s: float = 30.0,
) -> HttpAnswer:
    """Send a call to a plain service and return its answer."""
    headers = {"Authorization": f"Bearer {account_key(account)}"}
    if key is not None:
        headers["Idempotency-Key"] = key
    return http(
        method, f"{node.url}/services/{service}{path}", body, headers, timeout_s
    )
