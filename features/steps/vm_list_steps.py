"""Steps that read the platform's VM list from a real stand-in."""

from asyncio import run

from behave import given, then, when
from msgspec import json

from features.support.fleet import Fleet, http
from lagoonhinge_core.store_messages import VmEntry, VmState
from lagoonhinge_http.platform import HttpPlatform
from lagoonhinge_http.session import open_session


def entries(count: int) -> tuple[VmEntry, ...]:
    """Return a list of VMs."""
    return tuple(
        VmEntry(f"vm-{i}", "zone", f"127.0.0.1:{i + 1}", "entry", VmState.LIVE)
        for i in range(count)
    )


def set_list(fleet: Fleet, vms: tuple[VmEntry, ...]) -> None:
    """Set the platform's list."""
    url = f"{fleet.platform.url}/control/vms"
    assert http("PUT", url, json.encode(vms)).status == 200


async def read_lists(fleet: Fleet, changed: tuple[VmEntry, ...], times: int):
    """Read the list, change it and read it again; return the lists and the sends."""
    async with open_session() as session:
        platform = HttpPlatform(session, fleet.platform.url)
        first = (await platform.list()).unwrap()
        before = fleet.platform.get_json("control/counters")["vm_lists_sent"]
        set_list(fleet, changed)
        read = [(await platform.list()).unwrap() for _ in range(times)]
        after = fleet.platform.get_json("control/counters")["vm_lists_sent"]
    return first, read, after - before


@given("a platform with a list of {count:d} VMs that a node has read")
def step_platform_list(context, count):
    context.fleet = Fleet()
    context.fleet.start_platform("--vm-list-lag-s=0")
    context.fleet.wait_started()
    context.vms = entries(count)
    set_list(context.fleet, context.vms)


@when("the list {changed} and is read {times:d} times")
def step_read_list(context, changed, times):
    count = len(context.vms)
    size = {"stays the same": count, "loses a VM": count - 1, "gains a VM": count + 1}
    context.changed = entries(size[changed])
    context.lists = run(read_lists(context.fleet, context.changed, times))


@then("it was sent {times:d} more times and read correctly")
def step_sent(context, times):
    first, read, sent = context.lists
    assert first == context.vms, first
    assert all(vms == context.changed for vms in read), read
    assert sent == times, sent
