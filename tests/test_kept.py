"""Answer cache: what is cached, under which scopes, for how long, and requests that wait for a fetch."""

from __future__ import annotations

import tomllib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from aspenrill import api
from aspenrill.core.books import ClientRequest, Result
from aspenrill.fleet.kept import scopes
from aspenrill.fleet.kept.front import Joined, Kept, LoadNews
from aspenrill.fleet.kept.policy import Policy, Rule, read_kept, read_purges
from aspenrill.fleet.kept.store import Bounds, Store
from aspenrill.reader import Reader

QUERY = b"select a from sales_17.orders"
ROWS = Result("text", (b"1\t2\n",), rows=1)


class OwnerSide:
    """The owner's side of the cache: creates requests and records load updates."""

    def __init__(self, joins: int = 2, **bounds) -> None:
        self.store, self.load_updates, self.count = Store(Bounds(**bounds)), [], 0
        self.store.lease_end = 100.0
        rules = {0: Rule("lookup", 5.0), 2: Rule("shop", 5.0, frozenset({1}))}
        policy = Policy(rules, frozenset({1}), joins=joins)
        self.kept = Kept(self.store, policy, self.load_updates.append)

    def call(self, text: bytes = QUERY, cls: int = 0, tenant: int = 0) -> ClientRequest:
        self.count += 1
        return ClientRequest(
            f"r{self.count}", cls, tenant, text, None, 17, 0.0, 4.0, lambda call, final: None
        )

    def fetch(self, now: float, text: bytes = QUERY, **more) -> ClientRequest:
        call = self.call(text, **more)
        assert self.kept.lookup(call, now) is None
        self.kept.sent(call, now)
        return call


def test_answer_is_cached_for_its_seconds_after_the_query_was_sent():
    owner = OwnerSide()
    owner.kept.ended(owner.fetch(0.0), ROWS, 2.0)
    assert owner.kept.lookup(owner.call(), 4.9) is ROWS
    assert owner.kept.lookup(owner.call(), 5.0) is None


@pytest.mark.parametrize(
    "other", [{"cls": 2}, {"tenant": 1}, {"text": QUERY + b" "}, {"cls": 2, "tenant": 1}]
)
def test_class_tenant_and_statement_are_part_of_the_key(other):
    owner = OwnerSide()
    owner.kept.ended(owner.fetch(0.0), ROWS, 0.1)
    assert owner.kept.lookup(owner.call(**other), 0.2) is None


@pytest.mark.parametrize("scope", ["all", "c:lookup", "g17"])
def test_answers_sent_before_a_purge_are_neither_served_nor_cached(scope):
    owner = OwnerSide()
    owner.kept.ended(owner.fetch(0.0), ROWS, 0.1)
    late = owner.fetch(0.2, QUERY + b"2")
    owner.store.purge(scope)
    owner.kept.ended(late, ROWS, 0.3)
    assert owner.kept.lookup(owner.call(), 0.4) is None
    assert owner.kept.lookup(owner.call(QUERY + b"2"), 0.4) is None
    owner.store.purge("g18")
    owner.kept.ended(fresh := owner.fetch(0.5, QUERY + b"3"), ROWS, 0.6)
    owner.store.purge("c:other")
    assert owner.kept.lookup(owner.call(fresh.statement), 0.7) is ROWS


def test_cached_answers_are_served_only_under_a_lease():
    owner = OwnerSide()
    owner.kept.ended(owner.fetch(0.0), ROWS, 0.1)
    owner.store.lease_end = 1.0
    assert owner.kept.lookup(owner.call(), 0.99) is ROWS
    assert owner.kept.lookup(owner.call(), 1.0) is None
    owner.store.lease_end = 2.0
    assert owner.kept.lookup(owner.call(), 1.1) is ROWS


def test_requests_join_one_fetch_up_to_a_limit():
    owner = OwnerSide(joins=2)
    first = owner.fetch(0.0)
    waiting = [owner.call() for _ in range(2)]
    assert [owner.kept.lookup(call, 0.5) for call in waiting] == [Joined(1.5)] * 2
    assert owner.kept.lookup(owner.call(), 0.5) is None  # above the limit of joined requests
    waiting[1].open = False  # its client is gone
    released = owner.kept.ended(first, ROWS, 1.0)
    assert released.served == [waiting[0]] and not released.go_on and not owner.kept.joined


@pytest.mark.parametrize("end", ["fails", "purged", "no lease", "closed", "tired"])
def test_joined_requests_are_sent_if_the_fetch_gives_no_answer(end):
    owner = OwnerSide()
    first, second = owner.fetch(0.0), owner.call()
    owner.kept.lookup(second, 0.1)
    if end == "purged":
        owner.store.purge("g17")
        assert owner.kept.lookup(owner.call(), 0.1) is None  # an outdated fetch cannot be joined
    if end == "no lease":
        owner.store.lease_end = 0.2
    if end == "closed":
        assert owner.kept.closed(first, 0.3) == [second]
    elif end == "tired":
        assert owner.kept.tired(second) and not owner.kept.tired(second)
        assert not owner.kept.ended(first, ROWS, 0.3).served
    else:
        released = owner.kept.ended(first, None if end == "fails" else ROWS, 0.3)
        assert released.go_on == [second] and not released.served


def test_loads_purge_when_sent_and_at_any_end():
    owner = OwnerSide()
    owner.kept.ended(owner.fetch(0.0), ROWS, 0.1)
    load = owner.call(b"insert into sales_17.a select * from sales_18.b", cls=1)
    owner.kept.lookup(load, 0.2)
    owner.kept.sent(load, 0.2)
    assert owner.kept.lookup(owner.call(), 0.3) is None and owner.load_updates == [
        LoadNews(("g17", "g18"), False)
    ]
    owner.kept.closed(load, 0.4)  # timed out: its end is unknown
    owner.kept.ended(load, None, 0.9)  # and becomes known later
    assert owner.load_updates[1:] == [LoadNews(("g17", "g18"), True)] * 2
    other = owner.call(b"exec import_all", cls=1)
    owner.kept.sent(other, 1.0)
    owner.kept.sent(other, 1.1)  # second attempt
    assert owner.load_updates[3:] == [LoadNews(("all",), e) for e in (False, False, True)]


@pytest.mark.parametrize(
    "text, groups",
    [
        ("select 1 from a_1.t", {1}),
        ("SELECT x FROM [a_1].[t] o JOIN b_22.u p ON o.i = p.i WHERE o.c_9.x > 1", {1, 22}),
        ("select * from a_1.t, b_2.u as z, c_3.v where 'from x'", {1, 2, 3}),
        ("select * from (select y from a_1.t where z in (select q from b_2.u)) s, c_3.v", {1, 2, 3}),
        ("select /* from z */ a from a_1.t -- from q", {1}),
        ("select a from a_1.t;", {1}),
        ("select a from a_1.t union select b from c_2.t", {1, 2}),
        ("select a from a_1.t, products", None),
        ("select a from a_1.t join ref.products p on 1=1", None),
        ("with x as (select a from a_1.t) select * from x", None),
        ("select f from a_1.g(3)", None),
        ("insert into a_1.t select 1", None),
        ("select a into b_1.t from a_1.t", None),
        ("select a from a_1.t; delete from a_1.t", None),
        ("select now()", None),
        ("", None),
        ("select a from a_1.t)", None),
    ],
)
def test_groups_read_by_a_query(text, groups):
    assert scopes.groups_read(text) == (frozenset(groups) if groups else None)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.text(max_size=60)
    | st.lists(
        st.sampled_from(
            ["select", "from", "a_1.t", "b_2.u", ",", "(", ")", "join", "where", "'", "/*", "*/", ";"]
        ),
        max_size=20,
    ).map(" ".join)
)
def test_no_statement_raises_and_all_groups_read_are_named(text):
    read = scopes.groups_read(text)
    assert read is None or read <= scopes.groups_named(text)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 12), st.integers(1, 400)), max_size=60))
def test_bounds_hold_and_least_recently_used_is_evicted(puts):
    store = Store(Bounds(5, 1000, 300))
    store.lease_end = 1e9
    for key, size in puts:
        kept = store.put(0.0, (0, 0, b"%d" % key), key, size, store.stamp(("g1",)), 9.0)
        assert kept == (size + len(b"%d" % key) <= 300)
        assert len(store.answers) <= 5 and store.bytes <= 1000
        assert store.bytes == sum(answer.size for answer in store.answers.values())
    store = Store(Bounds(2))
    store.lease_end = 1e9
    for key in (b"a", b"b"):
        store.put(0.0, (0, 0, key), key, 1, store.stamp(()), 9.0)
    assert store.get(1.0, (0, 0, b"a")) == b"a"
    store.put(1.0, (0, 0, b"c"), b"c", 1, store.stamp(()), 9.0)
    assert [store.get(1.0, (0, 0, key)) for key in (b"a", b"b", b"c")] == [b"a", None, b"c"]


CLASSES = (
    api.QueryClass(1, 2, api.Effect.SAFE),
    api.QueryClass(1, 2, api.Effect.SAFE, is_load=True),
    api.QueryClass(1, 2, api.Effect.UNSAFE),
)


def read(text: str) -> tuple[Policy, list[str]]:
    faults: list[str] = []
    top = Reader(tomllib.loads(text), "fleet.", faults)
    return read_kept(top, ("lookup", "load", "pay"), CLASSES, ("shop",)), faults


def test_policy_is_off_by_default_and_names_each_fault():
    text = '[[kept.class]]\nname = "lookup"\nseconds = 3\ntenants = ["shop"]\n'
    assert read(text)[0].rules == {} and read("")[0].rules == {}
    policy, faults = read("[kept]\nenabled = true\n" + text)
    assert not faults and policy.rule(0, 1) is None
    assert policy.rule(0, 0) == Rule("lookup", 3, frozenset({0}))
    assert policy.loads == {1}
    for name in ("load", "pay"):
        assert "cannot be kept" in read(f'[[kept.class]]\nname = "{name}"\nseconds = 3\n')[1][0]
    bad = '[kept]\nmost_mbs = 1\n[[kept.class]]\nname = "lookup"\nseconds = -1\ntenants = ["no"]\n'
    assert [fault.split(":")[0] for fault in read(bad)[1]] == [
        "fleet.kept.class[0].seconds",
        "fleet.kept.class[0].tenants",
        "fleet.kept.most_mbs",
    ]
    faults: list[str] = []
    assert read_purges(Reader({"purges": {"lease_s": 2, "folder": "/x"}}, "", faults)).lease == 2
    assert not faults
