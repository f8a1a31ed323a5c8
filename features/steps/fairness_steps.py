"""Steps on fair queueing, limits, admission and the retry budget."""

from asyncio import run

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from features.support.admitting import AdmissionNode
from features.support.fuzz import run_machine
from lagoonhinge_core.admission_policy import DecodeTimeEstimate
from lagoonhinge_core.config import AccountConfig, Config
from lagoonhinge_core.fair_queue import FairQueue, QueueItem
from lagoonhinge_core.identity import NodeId
from lagoonhinge_core.limits import AccountLimits, DemandShares
from lagoonhinge_core.outcome import Outcome
from lagoonhinge_core.retry_budget import RetryBudget
from lagoonhinge_core.sections import ConfigSection
from lagoonhinge_node.admission_lanes import queue_depths

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
ITEM_TOKENS = 10
CREDIT_TOKENS = 5.0
LIMIT = 1000.0


class FairQueueMachine(RuleBasedStateMachine):
    """Compares the queue with start-time fair queueing over plain dictionaries."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(CREDIT_TOKENS)
        self.virtual_time = 0.0
        self.finish = {}
        self.queued = {}
        self.number = 0

    @rule(account=st.sampled_from("abc"), tokens=st.integers(1, 9))
    def push(self, account, tokens):
        self.number += 1
        weight = WEIGHTS[account]
        earliest = self.virtual_time - CREDIT_TOKENS
        start = max(earliest, self.finish.get(account, earliest))
        self.finish[account] = start + tokens / weight
        name = f"r{self.number}"
        self.queued[name] = (start, self.number, account, tokens)
        self.queue.push(QueueItem(name, account, tokens, weight))

    @precondition(lambda self: self.queued)
    @rule()
    def pop(self):
        name = min(self.queued, key=lambda item: self.queued[item][:2])
        start, *_ = self.queued.pop(name)
        self.virtual_time = max(self.virtual_time, start)
        assert self.queue.pop().request_id == name

    @precondition(lambda self: self.queued)
    @rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from(sorted(self.queued)))
        _, _, account, tokens = self.queued.pop(name)
        self.finish[account] -= tokens / WEIGHTS[account]
        self.queue.cancel(name)

    @rule()
    def drop_idle(self):
        self.queue.remove_idle()

    @invariant()
    def counts_agree(self):
        loads = dict.fromkeys(WEIGHTS, 0.0)
        for _, _, account, tokens in self.queued.values():
            loads[account] += tokens / WEIGHTS[account]
        assert len(self.queue) == len(self.queued)
        assert self.queue.tokens == sum(entry[3] for entry in self.queued.values())
        ordered = sorted(self.queued, key=lambda item: self.queued[item][:2])
        assert [item.request_id for item in self.queue.in_order()] == ordered
        heaviest = self.queue.heaviest_account()
        assert (heaviest is None) == (not self.queued)
        if heaviest is not None:
            assert self.queue.load(heaviest) == max(loads.values())
        for account, load in loads.items():
            assert self.queue.load(account) == load


@then("random pushes, pops and cancels match a dictionary oracle of fair queueing")
def step_queue_machine(context):
    run_machine(FairQueueMachine, 150)


@given("accounts with weights and backlogs {accounts}")
def step_accounts(context, accounts):
    context.arrivals = []
    context.weights = {}
    for text in accounts.split():
        name, weight, tokens = text.split(":")
        context.weights[name] = float(weight)
        for number in range(int(tokens) // ITEM_TOKENS):
            item = QueueItem(f"{name}{number}", name, ITEM_TOKENS, float(weight))
            context.arrivals.append(item)


@when("{tokens:d} tokens are dispatched in {order} order")
def step_dispatch(context, tokens, order):
    context.served = dict.fromkeys(context.weights, 0.0)
    queue = FairQueue()
    for item in context.arrivals:
        queue.push(item)
    for number in range(tokens // ITEM_TOKENS):
        item = queue.pop() if order == "fair" else context.arrivals[number]
        context.served[item.account] += item.tokens / item.weight


@then(
    "the shares of served tokens by weight have a Jain index of {least:f} to {most:f}"
)
def step_jain(context, least, most):
    shares = list(context.served.values())
    squares = len(shares) * sum(share * share for share in shares)
    index = sum(shares) ** 2 / squares
    assert least <= index <= most + 1e-9, (index, context.served)


@given("a queue with a credit of {credit:d} tokens and a backlog of account a")
def step_credit(context, credit):
    context.queue = FairQueue(float(credit))
    for number in range(20):
        context.queue.push(QueueItem(f"a{number}", "a", ITEM_TOKENS))
    for _ in range(5):
        context.queue.pop()


@when("account b sends {count:d} requests at once")
def step_burst(context, count):
    for number in range(count):
        context.queue.push(QueueItem(f"b{number}", "b", ITEM_TOKENS))


@then("{count:d} of the next {total:d} requests are of account b")
def step_next_accounts(context, count, total):
    accounts = [context.queue.pop().account for _ in range(total)]
    assert accounts.count("b") == count, accounts


class Site:
    """Nodes that gossip demand; every message may be delivered at any later time."""

    def __init__(self, count=3):
        self.names = [f"vm{n}" for n in range(count)]
        self.incarnations = dict.fromkeys(self.names, 1)
        self.demand = dict.fromkeys(self.names, 0.0)
        self.nodes = {name: self._new(name) for name in self.names}
        self.sent = []

    def _new(self, name):
        shares = DemandShares(NodeId(name, self.incarnations[name]))
        shares.set_unseen_peers(len(self.names) - 1)
        return shares

    def restart(self, name):
        self.incarnations[name] += 1
        self.demand[name] = 0.0
        self.nodes[name] = self._new(name)

    def publish(self, name):
        shares = self.nodes[name]
        update = shares.publish({"x": self.demand[name]})
        self.sent.append((shares.node, update))
        return self.sent[-1]

    def deliver(self, message, name):
        node, update = message
        if node.vm != name:
            shares = self.nodes[name]
            shares.observe(node, update)
            shares.set_unseen_peers(len(self.names) - 1 - len(shares.peers))

    def exchange(self, names, rounds=4):
        for _ in range(rounds):
            for message in [self.publish(name) for name in names]:
                for name in names:
                    self.deliver(message, name)

    def shares(self):
        return [self.nodes[name].share("x", LIMIT) for name in self.names]


class SharesMachine(RuleBasedStateMachine):
    """Lost, late, duplicated and reordered gossip with varying demand and restarts."""

    def __init__(self):
        super().__init__()
        self.site = Site()

    @rule(data=st.data(), fraction=st.sampled_from((0.0, 0.1, 0.5, 1.0, 3.0)))
    def set_demand(self, data, fraction):
        self.site.demand[data.draw(st.sampled_from(self.site.names))] = fraction * LIMIT

    @rule(data=st.data())
    def publish(self, data):
        self.site.publish(data.draw(st.sampled_from(self.site.names)))

    @rule(data=st.data())
    def exchange_between(self, data):
        names = data.draw(st.sets(st.sampled_from(self.site.names), min_size=2))
        self.site.exchange(sorted(names), data.draw(st.integers(1, 3)))

    @precondition(lambda self: self.site.sent)
    @rule(data=st.data())
    def deliver(self, data):
        back = data.draw(st.integers(1, min(12, len(self.site.sent))))
        name = data.draw(st.sampled_from(self.site.names))
        self.site.deliver(self.site.sent[-back], name)

    @rule(data=st.data())
    def restart(self, data):
        self.site.restart(data.draw(st.sampled_from(self.site.names)))

    @invariant()
    def shares_within_limit(self):
        shares = self.site.shares()
        assert sum(shares) <= 1.0 + 1e-9, shares


@then("random gossip, loss, restarts and demand keep the sum of shares within 1")
def step_shares_machine(context):
    run_machine(SharesMachine, 300, 60)


@given("3 nodes that have exchanged demands of {before} of the limit")
def step_site(context, before):
    context.site = Site()
    fractions = [float(fraction) for fraction in before.split()]
    for name, fraction in zip(context.site.names, fractions, strict=True):
        context.site.demand[name] = fraction * LIMIT
    context.site.exchange(context.site.names)


@when("node 0 demands {fraction:f} of the limit and {contact}")
def step_demand(context, fraction, contact):
    site = context.site
    if contact == "node 0 is restarted":
        site.restart(site.names[0])
    site.demand[site.names[0]] = fraction * LIMIT
    if contact == "all nodes are connected":
        site.exchange(site.names)
    else:
        site.exchange(site.names[1:])
        site.publish(site.names[0])


@then("node 0 has {least:f} to {most:f} of the limit")
def step_share(context, least, most):
    shares = context.site.shares()
    assert least <= shares[0] <= most, shares


@then("the shares of all nodes add up to at most the limit")
def step_share_sum(context):
    assert sum(context.site.shares()) <= 1.0 + 1e-9


@given("an account limited to 1000 tokens per second with a burst of 10 s")
def step_limited(context):
    context.limits = AccountLimits(DemandShares(NodeId("vm", 1)))
    context.account = AccountConfig("0" * 64, tokens_per_s=1000.0, burst_s=10.0)


@when("it requests {first:d} tokens, and {second:d} tokens {after:d} s later")
def step_requests(context, first, second, after):
    assert context.limits.charge("a", context.account, first, 0.0) is None
    context.wait = context.limits.charge("a", context.account, second, float(after))


@then("the second request must wait {wait:d} s")
def step_wait(context, wait):
    assert (context.wait or 0.0) == wait, context.wait


@then("under random outages retries stay within 10 and a tenth of the successes")
def step_budget(context):
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @for_all(st.lists(st.booleans(), max_size=400))
    def check(fails):
        budget = RetryBudget()
        retries = successes = 0
        for failed in fails:
            if not failed:
                successes += 1
                budget.earn("s", 0.1)
            elif budget.can_spend("s"):
                budget.spend("s")
                retries += 1
            assert retries <= 10 + 0.1 * successes + 1e-6

    check()


@given("a node with 2 upstreams of 1000 tokens per second and a queue of 6")
def step_node(context):
    context.node = None


@when("{count:d} request of {tokens:d} tokens arrive")
@when("{count:d} requests of {tokens:d} tokens arrive")
def step_arrivals(context, count, tokens):
    context.arrivals = (count, tokens, 60.0)


@when("{count:d} request of {tokens:d} tokens due in {timeout_s:g} s arrive")
@when("{count:d} requests of {tokens:d} tokens due in {timeout_s:g} s arrive")
def step_arrivals_with_deadline(context, count, tokens, timeout_s):
    context.arrivals = (count, tokens, timeout_s)


@then(
    "{served:d} are admitted at once and {refused:d} refused "
    "as not run with Retry-After"
)
def step_admitted(context, served, refused):
    async def simulate():
        node = AdmissionNode()
        count, tokens, timeout_s = context.arrivals
        for _ in range(count):
            node.arrive(tokens, timeout_s)
            await node.settle()
        assert len(node.tickets) == served, node.tickets
        assert_refused(node, refused)
        await node.end_all()
        node.assert_empty()

    run(simulate())


@then("no request is held once all have ended")
def step_nothing_held(context):
    # The previous step checks this, as it needs the same event loop.
    pass


def assert_refused(node, count):
    assert len(node.refusals) == count, node.refusals
    for failure in node.refusals.values():
        assert failure.outcome == Outcome.NOT_RUN, failure
        assert failure.retry_after_s is not None, failure
        assert failure.retry_after_s > 0, failure


@then(
    "the queued ones of {count_a:d} requests of account a "
    "and {count_b:d} of account b are shown"
)
def step_queue_shown(context, count_a, count_b):
    async def simulate():
        node = AdmissionNode()
        for account in ("a", "b"):
            for _ in range(count_a if account == "a" else count_b):
                node.arrive(500, account=account)
        await node.settle()
        admitted = len(node.tickets)
        depths = queue_depths(node.admission.queued.values())
        shown = {depth.account: depth.requests for depth in depths}
        assert shown == {"a": count_a - admitted, "b": count_b}, (shown, admitted)
        assert all(depth.tokens == 501 * depth.requests for depth in depths), depths
        await node.end_all()
        node.assert_empty()
        assert queue_depths(node.admission.queued.values()) == ()

    run(simulate())


@when("account a fills the queue and account b then sends 2 requests")
def step_fill(context):
    async def simulate():
        node = AdmissionNode()
        names_a = [node.arrive(500, account="a") for _ in range(8)]
        await node.settle()
        names_b = [node.arrive(500, account="b") for _ in range(2)]
        await node.settle()
        context.refused = {
            "a": sum(name in node.refusals for name in names_a),
            "b": sum(name in node.refusals for name in names_b),
        }
        assert_refused(node, 2)
        await node.end_all()
        node.assert_empty()

    run(simulate())


@then("2 requests of a and none of b are refused")
def step_shed(context):
    assert context.refused == {"a": 2, "b": 0}, context.refused


@when("4 requests of 500 tokens due in 30 s arrive and none ends for {time:d} s")
def step_none_ends(context, time):
    async def simulate():
        node = AdmissionNode()
        for _ in range(4):
            node.arrive(500, 30.0)
        await node.settle()
        for _ in range(time):
            node.clock.now += 1.0
            node.admission.refuse_late()
            await node.settle()
        context.node = node

    run(simulate())


@when("4 requests of 500 tokens arrive and the service is removed")
def step_service_removed(context):
    async def simulate():
        node = AdmissionNode()
        for _ in range(4):
            node.arrive(500)
        await node.settle()
        node.config.post(ConfigSection(2, "", Config()))
        node.admission.dispatch()
        await node.settle()
        context.node = node

    run(simulate())


@then("{refused:d} queued requests are refused as not run with Retry-After")
def step_queued_refused(context, refused):
    assert_refused(context.node, refused)


@given("answers of {tokens:d} output tokens that took {took:g} s after prefill")
def step_answers(context, tokens, took):
    context.decode_time = DecodeTimeEstimate()
    for _ in range(50):
        context.decode_time.record(took, tokens)


@when("{idle:d} s pass without another answer")
def step_idle(context, idle):
    for _ in range(idle):
        context.decode_time.tick(1.0)


@then("an answer of 100 tokens is expected to take {least:g} to {most:g} s")
def step_expected(context, least, most):
    expected = context.decode_time.estimate_s(100)
    assert least <= expected <= most, expected


class TicketMachine(RuleBasedStateMachine):
    """Requests arrive, end or are cancelled by their callers at any time."""

    def __init__(self):
        super().__init__()
        self.actions = []

    @rule(tokens=st.sampled_from((50, 500, 40_000)), account=st.sampled_from("ab"))
    def arrive(self, tokens, account):
        self.actions.append(("arrive", tokens, account))

    @rule(
        kind=st.sampled_from(("end", "cancel", "settle", "wait")), n=st.integers(0, 9)
    )
    def perform(self, kind, n):
        self.actions.append((kind, n, ""))

    def teardown(self):
        run(self._simulate())

    async def _simulate(self):
        node = AdmissionNode()
        for kind, number, account in self.actions:
            match kind:
                case "arrive":
                    node.arrive(number, account=account)
                case "end" if node.tickets:
                    names = sorted(node.tickets)
                    node.end(names[number % len(names)])
                case "cancel" if node.tasks:
                    names = sorted(node.tasks)
                    node.tasks[names[number % len(names)]].cancel()
                case "settle":
                    await node.settle()
                case "wait":
                    node.clock.now += number
                    node.admission.tick(1.0)
                    node.admission.refuse_late()
        await node.settle()
        await node.end_all()
        node.assert_empty()


@then("random arrivals, ends and cancellations leave no ticket, count or queue entry")
def step_ticket_machine(context):
    run_machine(TicketMachine, 200)
