"""How long a stop may wait for the requests in flight."""

from collections.abc import Iterator

from lagoonhinge_core.config import Config, ModelService

STOP_MARGIN_S = 30.0
ANSWER_TOKENS_SHARE = 2


def longest_request_s(config: Config) -> float:
    """Return the longest time bound of any request of a configuration, in seconds."""
    return STOP_MARGIN_S + max(_bounds_s(config), default=0.0)


def _bounds_s(config: Config) -> Iterator[float]:
    for service in config.services.values():
        tokens = 0
        if isinstance(service, ModelService):
            # A prompt and an answer may each be as long as the model takes.
            longest = config.models[service.model].max_prompt_tokens
            tokens = ANSWER_TOKENS_SHARE * longest
        yield service.time_bound.bound_s(tokens)
