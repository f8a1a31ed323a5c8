"""Steps for the memory that all answers share."""

from behave import given, then, when

from lagoonhinge_core.forwarding.answer_memory import AnswerMemory

BYTES_PER_MB = 1 << 20


@given("answers that hold {sizes} MB")
def step_held(context, sizes):
    context.memory = AnswerMemory()
    for number, size in enumerate(() if sizes == "no" else sizes.split()):
        assert context.memory.hold(number, int(size) * BYTES_PER_MB)


@when("another answer grows to {size:d} MB")
def step_grows(context, size):
    held_mb = range(1, size + 1)
    context.held = [context.memory.hold(-1, mb * BYTES_PER_MB) for mb in held_mb]


@then("that answer {outcome}")
def step_grown(context, outcome):
    assert all(context.held[:-1]), context.held
    assert context.held[-1] == (outcome == "goes on"), context.held
