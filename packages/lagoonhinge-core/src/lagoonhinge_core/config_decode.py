"""Decoding of raw TOML tables into data classes, reporting every error at once."""

from collections.abc import Mapping
from dataclasses import MISSING, Field, dataclass, fields, is_dataclass
from difflib import get_close_matches
from functools import cache
from types import UnionType
from typing import Any, Literal, Union, get_args, get_origin, get_type_hints

from msgspec import ValidationError, convert

KeyPath = tuple[str, ...]


@dataclass(frozen=True)
class ConfigError:
    """One error in a configuration.

    Attributes:
        file: File that set the offending key.
        key: Dotted path of the key.
        reason: What is wrong, with the offending value.
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"{self.file}: {self.key}: {self.reason}"


@dataclass(frozen=True)
class PathError:
    """An error at a key path, before it is mapped to a file."""

    path: KeyPath
    reason: str


class TableDecoder:
    """Decodes nested tables and collects their errors."""

    def __init__(self) -> None:
        self.errors: list[PathError] = []

    def reject(self, path: KeyPath, reason: str) -> None:
        """Record an error."""
        self.errors.append(PathError(path, reason))

    def decode(self, target_type: Any, raw: Any, path: KeyPath) -> Any:
        """Return `raw` as an instance of `target_type`, or `None` after an error."""
        if is_dataclass(target_type):
            return self._decode_table(target_type, raw, path)
        origin = get_origin(target_type)
        if origin in (Union, UnionType):
            return self._decode_variant(get_args(target_type), raw, path)
        if origin is dict:
            return self._decode_mapping(get_args(target_type), raw, path)
        return self._decode_value(target_type, raw, path)

    def _decode_table(self, target_type: Any, raw: Any, path: KeyPath) -> Any:
        if not isinstance(raw, Mapping):
            self.reject(path, f"must be a table, not {raw!r}")
            return None
        hints = _hints(target_type)
        for key in raw:
            if key not in hints:
                self.reject((*path, key), _unknown_key(key, list(hints)))
        values: dict[str, Any] = {}
        error_count = len(self.errors)
        for entry in fields(target_type):
            if entry.name in raw:
                values[entry.name] = self.decode(
                    hints[entry.name], raw[entry.name], (*path, entry.name)
                )
            elif _is_required(entry):
                self.reject((*path, entry.name), "is missing")
        return target_type(**values) if len(self.errors) == error_count else None

    def _decode_variant(
        self, variants: tuple[Any, ...], raw: Any, path: KeyPath
    ) -> Any:
        if not isinstance(raw, Mapping):
            self.reject(path, f"must be a table, not {raw!r}")
            return None
        variant_by_name = {_variant_name(variant): variant for variant in variants}
        name = raw.get("kind")
        if name not in variant_by_name:
            choices = ", ".join(variant_by_name)
            self.reject((*path, "kind"), f"must be one of {choices}, not {name!r}")
            return None
        return self._decode_table(variant_by_name[name], raw, path)

    def _decode_mapping(self, args: tuple[Any, ...], raw: Any, path: KeyPath) -> Any:
        if not isinstance(raw, Mapping):
            self.reject(path, f"must be a table, not {raw!r}")
            return None
        key_type, value_type = args
        for key in raw:
            self._decode_value(key_type, key, (*path, key))
        return {
            key: self.decode(value_type, value, (*path, key))
            for key, value in raw.items()
        }

    def _decode_value(self, target_type: Any, raw: Any, path: KeyPath) -> Any:
        try:
            return convert(raw, target_type)
        except ValidationError as error:
            self.reject(path, f"{raw!r}: {error}")
            return None


@cache
def _hints(target_type: Any) -> dict[str, Any]:
    return get_type_hints(target_type, include_extras=True)


def _is_required(entry: Field[Any]) -> bool:
    return entry.default is MISSING and entry.default_factory is MISSING


def _variant_name(variant: Any) -> str:
    hint = _hints(variant)["kind"]
    assert get_origin(hint) is Literal, f"{variant!r} has no literal kind"
    return str(get_args(hint)[0])


def _unknown_key(key: str, known_keys: list[str]) -> str:
    close_matches = get_close_matches(key, known_keys, n=1)
    if close_matches:
        return f"unknown key {key!r}; did you mean {close_matches[0]!r}?"
    return f"unknown key {key!r}"
