"""Steps for the parts of a configuration, without starting processes."""

from dataclasses import replace
from hashlib import sha256

from behave import given, then, when
from returns.result import Failure

from lagoonhinge_core.config import (
    AccountConfig,
    Config,
    LimitsConfig,
    ModelConfig,
    ModelService,
    UpstreamConfig,
    UpstreamMode,
)
from lagoonhinge_core.config_parts import (
    PartKind,
    PartRef,
    decode_part,
    join_parts,
    make_blob,
    make_bundle,
    split_config,
)

DEFECTS = {
    "other content": b"{}",
    "a missing key": b'{"tube-mills": {"weight": 1.0}}',
    "an unknown key": b'{"zone": []}',
}


def make_config(accounts: int, upstreams: int) -> Config:
    """Return a configuration of the given size."""
    return Config(
        zones=("zone-0",),
        models={"m": ModelConfig()},
        services={"s": ModelService("m")},
        accounts={f"account-{i}": AccountConfig(f"{i:064x}") for i in range(accounts)},
        upstreams={
            f"engine-{i}": UpstreamConfig(f"http://h:{i}", "zone-0", "s", kv_tokens=1)
            for i in range(upstreams)
        },
    )


@given("a configuration of {accounts:d} accounts and {upstreams:d} upstreams in parts")
def step_parts(context, accounts, upstreams):
    context.original = make_config(accounts, upstreams)
    context.parts = split_config(context.original)


@when("nothing changes")
def step_nothing(context):
    context.changed = context.original


@when("the weight of one account changes")
def step_weight_of_one(context):
    account = replace(context.original.accounts["account-7"], weight=2.0)
    accounts = {**context.original.accounts, "account-7": account}
    context.changed = replace(context.original, accounts=accounts)


@when("an upstream is drained")
def step_one_drained(context):
    engine = replace(context.original.upstreams["engine-7"], mode=UpstreamMode.DRAINING)
    upstreams = {**context.original.upstreams, "engine-7": engine}
    context.changed = replace(context.original, upstreams=upstreams)


@when("an account is removed")
def step_one_removed(context):
    accounts = dict(context.original.accounts)
    accounts.pop("account-7")
    context.changed = replace(context.original, accounts=accounts)


@when("the limits change")
def step_limits(context):
    context.changed = replace(context.original, limits=LimitsConfig(1000, 10))


@then(
    "{count:d} of the parts are new, and the parts join into the changed configuration"
)
def step_new_parts(context, count):
    parts = split_config(context.changed)
    new = {part.ref for part in parts} - {part.ref for part in context.parts}
    assert len(new) == count, new
    decoded = [decode_part(part.ref, part.content).unwrap() for part in parts]
    assert join_parts(decoded) == context.changed


@then('a {kind} part with {defect} is refused with "{reason}"')
def step_bad_part(context, kind, defect, reason):
    content = DEFECTS[defect]
    if defect == "other content":
        ref = next(part.ref for part in context.parts if part.ref.kind == kind)
    else:
        ref = PartRef(PartKind(kind), sha256(content).hexdigest())
    result = decode_part(ref, content)
    assert isinstance(result, Failure), result
    assert reason in result.failure().reason, result


@then("a second site with other upstreams adds as many blobs as its upstreams need")
def step_shared(context):
    config = context.original
    other = replace(config, upstreams=make_config(0, 5).upstreams)
    one_site = make_bundle(make_blob("source"), {"a": config})
    two_sites = make_bundle(make_blob("source"), {"a": config, "b": other})
    # One shard of upstreams and the site's list of parts.
    assert len(two_sites.blobs) == len(one_site.blobs) + 2
