"""Steps for the adapter to the platform."""

from base64 import b64encode
from importlib import import_module
from os import environ
from pathlib import Path
from subprocess import run
from sys import executable
from sysconfig import get_path
from tempfile import TemporaryDirectory

from behave import then, when
from msgspec import json
from returns.result import Failure, Success

from features.support.platform_fleet import BOUNDS, config
from lagoonhinge_core.forwarding.messages import (
    NoLimit,
    RequestLimit,
    UnreadableLimit,
)
from lagoonhinge_platform import names
from lagoonhinge_platform.headers import PlatformHeaders
from lagoonhinge_platform.main import forwarding_settings
from lagoonhinge_platform.settings import parse_settings
from lagoonhinge_platform.site_rows import PlatformRows, StoreRow, table_row

ROOT = Path(__file__).parents[2]
SETTINGS = {
    "node": "front-1",
    "ip": "127.0.0.1",
    "zone": "north",
    "heartbeatMs": "1200",
    "portRange": "7340,7355",
    "listen.front": "127.0.0.1:1",
    "listen.ready": "127.0.0.1:2",
    "listen.control": "127.0.0.1:3",
    "platform.address": "127.0.0.1:4",
    **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
}
WORKER_ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 8,
    "state": "ready",
    "born": 1,
}
WORKER_ENTRY_CHANGES = {
    "nothing changed": {},
    "a draining state": {"state": "draining"},
    "an unknown state": {"state": "asleep"},
    "no address": {"address": None},
    "an address as number": {"address": 80},
    "no slots": {"slots": None},
    "an unknown field": {"colour": "blue"},
    "no start time": {"born": None},
    "negative slots": {"slots": -8},
    "a port out of range": {"address": "10.0.0.1:70000"},
    "a port of 5000 digits": {"address": "10.0.0.1:" + "9" * 5000},
    "a port in other digits": {"address": "10.0.0.1:\u0668\u0660"},
    "a host name": {"address": "worker.example:80"},
    "a host name too long": {"address": "x" * 300 + ":80"},
    "an abbreviated address": {"address": "10.1:80"},
}
NESTING_DEPTH = 30_000  # of lists in a value of 64 KB, the largest of a row
# Fields whose numbers the encoder refuses.
WORKER_ENTRY_NUMBERS = {
    "slots too large": b',"slots":' + b"9" * 400,
    "a start time too large": b',"born":' + b"9" * 400,
    "a cold time too large": b',"coldLeftMs":1e300',
}
SOURCE_FOLDERS = (ROOT / "packages", ROOT / "tools", ROOT / "bench")
# Names that the interface of this system uses too.
SHARED_NAMES = {names.RETRY_AFTER, names.LAST_EVENT_ID, names.AUTHORIZATION}


def _settings_text(settings: dict[str, str]) -> str:
    return "".join(f"{key}={value}\n" for key, value in settings.items())


@when('the platform\'s settings have {key} set to "{value}"')
@when('the platform\'s settings have {key} set to ""')
def step_setting(context, key, value=""):
    assert isinstance(parse_settings(_settings_text(SETTINGS)), Success)
    context.result = parse_settings(_settings_text({**SETTINGS, key: value}))


@when('the variable for the metrics port is "{port}"')
@when('the variable for the metrics port is ""')
def step_metrics_port(context, port=""):
    context.result = parse_settings(_settings_text(SETTINGS), port)


@then(
    'the operator address is {address}, or the errors name the variable with "{reason}"'
)
@then('the operator address is {address}, or the errors name the variable with ""')
def step_operator_address(context, address, reason=""):
    match context.result:
        case Success(settings):
            assert str(settings.metrics) == address, settings
        case Failure((error,)):
            assert address == "none" and reason in str(error), error
            assert names.METRICS_PORT_VARIABLE in str(error), error
        case _:
            raise AssertionError(context.result)


@then("changes are in force within {seconds:g} s")
def step_in_force_s(context, seconds):
    assert forwarding_settings(context.result.unwrap()).in_force_s == seconds


@when('the platform\'s settings are "{text}" alone')
def step_settings_alone(context, text):
    context.result = parse_settings(text)


@then('the settings errors name {key} and "{reason}"')
def step_setting_error(context, key, reason):
    (error,) = context.result.failure()
    assert error.flag == key and reason in error.reason, error


@then("the settings errors name {first}, {second}, {third} and {fourth}")
def step_setting_errors(context, first, second, third, fourth):
    named = {error.flag for error in context.result.failure()}
    assert {first, second, third, fourth} <= named, named


@when("a worker's entry has {change}")
def step_entry(context, change):
    match change:
        case "invalid JSON":
            value = b64encode(b"\xff{").decode()
        case "invalid base64":
            value = "not base64!"
        case "deeply nested lists":
            value = b64encode(b"[" * NESTING_DEPTH).decode()
        case "a deeply nested unknown field":
            lists = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
            entry = json.encode(WORKER_ENTRY)[:-1] + b',"notes":' + lists + b"}"
            value = b64encode(entry).decode()
        case "base64 beyond ASCII":
            value = "\xe9" * 8
        case _ if change in WORKER_ENTRY_NUMBERS:
            # The last of several fields of one name holds.
            entry = json.encode(WORKER_ENTRY)[:-1] + WORKER_ENTRY_NUMBERS[change]
            value = b64encode(entry + b"}").decode()
        case _:
            fields = {**WORKER_ENTRY, **WORKER_ENTRY_CHANGES[change]}
            kept = {key: value for key, value in fields.items() if value is not None}
            value = b64encode(json.encode(kept)).decode()
    context.upstream = PlatformRows().upstream(table_row(StoreRow("i-1", value, 7)))


@when("a node's entry has the address {address}")
def step_node_entry(context, address):
    address = address.replace("300 letters", "x" * 300)
    value = b64encode(json.encode({"address": address, "zone": "north"})).decode()
    context.upstream = PlatformRows().node(table_row(StoreRow("n-1", value, 7)))


@then("the entry yields {result}")
def step_entry_yields(context, result):
    upstream = context.upstream
    match result:
        case "a node":
            assert upstream is not None and upstream.name == "n-1", upstream
        case "none":
            assert upstream is None, upstream
        case "a ready one":
            assert upstream.instance == "i-1" and not upstream.leaving, upstream
        case _:
            assert upstream.leaving, upstream


@when("a configuration has {change}")
def step_config(context, change):
    text = json.decode(json.encode(config()))
    match change:
        case "an unknown kind":
            text["routes"][0]["kind"] = "sometimes"
        case "a route without host":
            del text["routes"][0]["host"]
        case "no limits":
            del text["limits"]
        case _:
            text["version"] = "seven"
    value = b64encode(json.encode(text)).decode()
    context.result = PlatformRows().config(table_row(StoreRow("config", value, 7)))


@then('the configuration is refused with "{reason}"')
def step_refused(context, reason):
    assert isinstance(context.result, Failure), context.result
    assert reason in context.result.failure(), context.result


@when("a request comes with {header}")
def step_header(context, header):
    name, _, value = header.partition(": ")
    headers = [(b"Host", b"desk.example"), (b"X-Hop", b"1")]
    headers.append((name.encode(), value.encode()))
    context.request = PlatformHeaders().read_request(
        "GET", "/read/1", tuple(headers), b""
    )


@then("the adapter {effect}")
def step_effect(context, effect):
    request = context.request
    kept = {name.decode() for name, _ in request.headers}
    match effect.split():
        case ["reads", "a", "limit", *_]:
            assert request.time_limit_s == 2.5, request
        case ["reads", "no", "limit"]:
            assert request.time_limit_s is None, request
        case ["reads", tokens, "prompt", "tokens"]:
            assert request.size.prompt_tokens == int(tokens), request
        case ["reads", "no", "size"]:
            assert request.size is None, request
        case ["reads", "the", "shared", "parts", *parts]:
            assert request.shared_parts == tuple(parts), request
            assert names.PROMPT_PARTS in kept, request
        case ["reads", "no", "shared", "parts"]:
            assert request.shared_parts == (), request
        case ["reads", "the", "key", key]:
            assert request.key == key and names.AUTHORIZATION not in kept, request
        case ["reads", "no", "key"]:
            assert request.key is None and names.AUTHORIZATION not in kept, request
        case ["drops", name]:
            assert name not in kept, request
        case ["keeps", name]:
            assert name in kept, request


@when("an answer has the limit headers {headers}")
def step_limit_headers(context, headers):
    values = [] if headers == "none" else headers.split(",")
    raw = tuple((names.REQUEST_LIMIT.encode(), value.encode()) for value in values)
    context.head = PlatformHeaders().read_answer(200, "OK", raw)


@then("its limit reads as {limit}")
def step_limit(context, limit):
    match context.head.limit:
        case NoLimit():
            assert limit == "none"
        case UnreadableLimit():
            assert limit == "unreadable", context.head.limit
        case RequestLimit(per_s):
            assert float(limit) == per_s, per_s


@then("no other source contains a header, a path or a table name of the platform")
def step_names_only_in_adapter(context):
    platform_names = {
        value
        for name, value in vars(names).items()
        if name.isupper() and isinstance(value, str) and len(value) > 8
    } - SHARED_NAMES
    sources = [path for folder in SOURCE_FOLDERS for path in folder.rglob("*.py")]
    violations = [
        (str(path), platform_name)
        for path in sources
        for platform_name in platform_names
        if platform_name in path.read_text()
    ]
    assert sources and not violations, violations


@then('the module "{name}" is the standard library\'s')
def step_module(context, name):
    path = Path(import_module(name).__file__)
    assert path.is_relative_to(get_path("stdlib")), path


@when("a node on the platform is started with an empty settings file")
def step_empty_settings(context):
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.conf"
        path.write_text("")
        context.finished = run(
            (executable, "-m", "lagoonhinge_platform"),
            env={**environ, names.SETTINGS_VARIABLE: str(path)},
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )


@then("the node exits with status {status:d}, naming {first} and {second}")
def step_exits(context, status, first, second):
    finished = context.finished
    assert finished.returncode == status, finished
    assert all(f"{name}: " in finished.stderr for name in (first, second)), finished
