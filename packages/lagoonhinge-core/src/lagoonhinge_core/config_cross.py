"""Checks across tables of a configuration: undefined names and duplicate values."""

from collections.abc import Iterator

from lagoonhinge_core.config import Config, ModelService
from lagoonhinge_core.config_decode import KeyPath, PathError


def cross_errors(config: Config) -> Iterator[PathError]:
    """Return the errors in references between tables and duplicate values."""
    yield from _service_errors(config)
    yield from _upstream_errors(config)
    yield from _desired_errors(config)
    yield from _duplicate_errors(
        ("accounts", "key_sha256"),
        {name: account.key_sha256 for name, account in config.accounts.items()},
    )
    yield from _duplicate_errors(
        ("upstreams", "url"),
        {name: upstream.url for name, upstream in config.upstreams.items()},
    )
    yield from _duplicate_errors(
        ("services", "model"),
        {
            name: service.model
            for name, service in config.services.items()
            if isinstance(service, ModelService)
        },
    )


def _service_errors(config: Config) -> Iterator[PathError]:
    for name, service in config.services.items():
        if isinstance(service, ModelService) and service.model not in config.models:
            path = ("services", name, "model")
            yield PathError(path, f"no model {service.model!r}")


def _upstream_errors(config: Config) -> Iterator[PathError]:
    for name, upstream in config.upstreams.items():
        path: KeyPath = ("upstreams", name)
        service = config.services.get(upstream.service)
        if service is None:
            yield PathError((*path, "service"), f"no service {upstream.service!r}")
        if upstream.zone not in config.zones:
            yield PathError((*path, "zone"), f"no zone {upstream.zone!r}")
        if isinstance(service, ModelService) and upstream.kv_tokens == 0:
            yield PathError((*path, "kv_tokens"), "must be set for a model engine")


def _desired_errors(config: Config) -> Iterator[PathError]:
    for name in config.desired:
        if not isinstance(config.services.get(name), ModelService):
            yield PathError(("desired", name), f"no model service {name!r}")


def _duplicate_errors(
    key: tuple[str, str], values: dict[str, str]
) -> Iterator[PathError]:
    """Return an error for each entry whose value an earlier entry of the table has."""
    table, field = key
    name_by_value: dict[str, str] = {}
    for name, value in values.items():
        earlier_name = name_by_value.setdefault(value, name)
        if earlier_name != name:
            reason = f"{value!r} is already used by {earlier_name!r}"
            yield PathError((table, name, field), reason)
