"""Bound on the time that a stop waits for the requests in flight."""

from collections.abc import Iterator

from lagoonhinge_core.config import Config, ModelService

STOP_MARGIN_S = 30.0
MAX_TOKENS_FACTOR = 2  # a prompt and an answer, each of the model's maximum length


def longest_request_s(config: Config) -> float:
    """Return the longest timeout of any request plus a margin, in seconds."""
    return STOP_MARGIN_S + max(_bounds_s(config), default=0.0)


def _bounds_s(config: Config) -> Iterator[float]:
    for service in config.services.values():
        tokens = 0
        if isinstance(service, ModelService):
            max_tokens = config.models[service.model].max_prompt_tokens
            tokens = MAX_TOKENS_FACTOR * max_tokens
        yield service.time_bound.bound_s(tokens)
