"""Steps that check configuration files without starting processes."""

from dataclasses import fields, is_dataclass
from pathlib import Path
from re import findall
from types import UnionType
from typing import Union, get_args, get_origin, get_type_hints

from behave import given, then, when
from returns.result import Success

from lagoonhinge_core.config import Config
from lagoonhinge_core.config_load import ConfigSource, check_source, load_site

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"


def example_source() -> ConfigSource:
    """Return the example configuration."""
    sites = {p.stem: p.read_text() for p in (EXAMPLES / "sites").glob("*.toml")}
    return ConfigSource((EXAMPLES / "base.toml").read_text(), sites)


def with_line(text: str, table: str, line: str) -> str:
    """Return TOML text with a key set in a table, replacing an existing value."""
    table_header = f"[{table}]"
    if table_header not in text:
        return f"{text}\n{table_header}\n{line}\n"
    before, after = text.split(table_header, 1)
    body, *rest = after.split("\n[", 1)
    key = line.split(" = ")[0]
    kept_lines = [old for old in body.split("\n") if not old.startswith(f"{key} = ")]
    tail = "\n[" + rest[0] if rest else ""
    return f"{before}{table_header}\n{line}" + "\n".join(kept_lines) + tail


def code_keys(annotation, path: str) -> set[str]:
    """Return the dotted keys of a type, with NAME for names chosen by operators."""
    origin = get_origin(annotation)
    if is_dataclass(annotation):
        hints = get_type_hints(annotation)
        field_paths = (
            f"{path}.{f.name}" if path else f.name for f in fields(annotation)
        )
        return {
            key
            for field_path, field in zip(field_paths, fields(annotation), strict=True)
            for key in code_keys(hints[field.name], field_path)
        }
    if origin in (Union, UnionType):
        return {
            key for variant in get_args(annotation) for key in code_keys(variant, path)
        }
    if origin is dict:
        return code_keys(get_args(annotation)[1], f"{path}.NAME")
    return {path}


@given("the example configuration of perth")
def step_example(context):
    source = example_source()
    context.source = ConfigSource(source.base, {"perth": source.sites["perth"]})


@when('{file} gets the line "{line}" in table "{table}"')
def step_line(context, file, line, table):
    source = context.source
    if file == "base.toml":
        base = with_line(source.base, table, line)
        context.source = ConfigSource(base, source.sites)
        return
    overlay = with_line(source.sites["perth"], table, line)
    context.source = ConfigSource(source.base, {"perth": overlay})


@then('the check reports {file}, key "{key}" and "{reason}"')
def step_reported(context, file, key, reason):
    errors = check_source(context.source)
    assert any(
        error.file == file and error.key == key and reason in error.reason
        for error in errors
    ), [str(error) for error in errors]


@then("the check finds {count:d} errors")
def step_count(context, count):
    errors = check_source(context.source)
    assert len(errors) == count, [str(error) for error in errors]


@then("the example of {site} has {accounts:d} accounts and {upstreams:d} upstreams")
def step_examples(context, site, accounts, upstreams):
    result = load_site(example_source(), site)
    assert isinstance(result, Success), result
    config = result.unwrap()
    assert len(config.accounts) == accounts, len(config.accounts)
    assert len(config.upstreams) == upstreams, len(config.upstreams)


@then("the site's max_body_bytes is {value:d}")
def step_overlay(context, value):
    config = load_site(context.source, "perth").unwrap()
    assert config.limits.max_body_bytes == value


@then("docs/CONFIGURATION.md lists every key once, and no other")
def step_reference(context):
    text = (ROOT / "docs" / "CONFIGURATION.md").read_text()
    listed = findall(r"^\| `([^`]+)` \|", text, flags=8)
    assert len(listed) == len(set(listed)), "a key is listed twice"
    expected = code_keys(Config, "")
    assert set(listed) == expected, set(listed) ^ expected
