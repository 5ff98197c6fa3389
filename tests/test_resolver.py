"""The resolver: its logic on a virtual clock, and its sockets against a scripted name server."""

from __future__ import annotations

import random
import time

import dns.message
import dns.rrset
import pytest
from lookups import record, reply_of, run_lookup, servers

from aspenrill.net.hub import Hub
from aspenrill.resolver.cache import Cache, Lifetimes, negative_ttl
from aspenrill.resolver.client import Resolver
from aspenrill.resolver.lookup import Failed, LookupTimeouts, follow_aliases, lookup_steps
from aspenrill.resolver.servers import MAX_BACK_OFF
from aspenrill.wire import dns as wire
from standins.nameserver import AnswerBehaviour, NameServer
from standins.scenario import run_scenario

N = wire.parse_name
NAME = N("_tds._tcp.x.example")
TIMEOUTS = LookupTimeouts()  # the defaults
SHORT_TIMEOUTS = LookupTimeouts(question=0.3, lookup=2.0)


# ---- the cache ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("ttl, life", [(0, 1.0), (0.2, 1.0), (60, 60.0), (10**6, 3600.0)])
def test_lifetimes_are_kept_and_clamped(ttl, life):
    cache = Cache(Lifetimes(), random.Random(1))
    found = cache.store(100.0, NAME, wire.SRV, 0, (record("a.b.c", wire.A, "1.2.3.4"),), ttl)
    assert found.expires_at == 100 + life and 100 + 0.8 * life <= found.refresh_at <= 100 + 0.95 * life
    assert cache.get_fresh(found.refresh_at - 0.01, NAME, wire.SRV) is found
    assert (
        cache.get_fresh(found.refresh_at, N("_TDS._tcp.X.example"), wire.SRV) is None
    )  # refreshed before it expires
    assert cache.get_last(found.expires_at - 0.01, NAME, wire.SRV, "why").stale is False
    late = cache.get_last(found.expires_at + 5, NAME, wire.SRV, "why")
    assert late.stale and late.reason == "why" and late.age(found.expires_at + 5) == life + 5
    assert cache.get_last(found.expires_at + 86401, NAME, wire.SRV, "why") is None


def test_a_lifetime_of_2_to_the_31_counts_as_none():
    # RFC 2181, 8: a TTL with the highest bit set counts as 0; read as a number it would never expire
    raw = (
        wire.HEADER.pack(1, 0x8000, 0, 1, 0, 0)
        + wire.encode_name(N("a.b.c"))
        + wire.RECORD_HEADER.pack(wire.A, wire.IN, 1 << 31, 4)
        + b"\x7f\0\0\1"
    )
    assert wire.parse_reply(raw).records[0].ttl == 0


def test_refreshes_are_spread():
    # front ends that were started together must not query at the same time
    times = {
        Cache(Lifetimes(), random.Random(seed)).store(0.0, NAME, 33, 0, (), 100).refresh_at
        for seed in range(20)
    }
    assert len(times) == 20 and max(times) - min(times) > 5


def test_negative_answers_are_kept_by_their_soa():
    soa = wire.Record(N("x.example"), wire.SOA, 900, (1, 30))
    assert negative_ttl((soa,)) == 30 and negative_ttl(()) == 0
    cache = Cache(Lifetimes(), random.Random(1))
    assert cache.store(0.0, NAME, 33, wire.NXDOMAIN, (), 10**6).expires_at == 300


def test_the_cache_is_bounded_and_forgets_what_is_unused():
    cache = Cache(Lifetimes(max_entries=10), random.Random(1))
    for at in range(50):
        cache.store(0.0, N(f"h{at}.x.example"), wire.A, 0, (), 60)
        cache.get_fresh(0.0, N("h0.x.example"), wire.A)
    assert len(cache.answers) == 10 and cache.get_fresh(0.0, N("h0.x.example"), wire.A) is not None


# ---- server selection and look-ups on a virtual clock -------------------------------------------------


def test_servers_are_queried_in_order_and_failed_ones_are_skipped():
    name_servers = servers()

    def world(now, ask):
        if ask.server.address[1] == 1:
            return 9.0, None
        return 0.01, reply_of(ask, wire.Record(ask.name, wire.A, 5, "127.0.0.1"))

    found, questions, now = run_lookup(lookup_steps(0.0, NAME, wire.A, name_servers, TIMEOUTS), world)
    assert [a[1] for a in questions] == [1, 2] and found.records and now == pytest.approx(1.01)
    _, questions, _ = run_lookup(lookup_steps(now, NAME, wire.A, name_servers, TIMEOUTS), world, now)
    assert now < name_servers.all[0].back_off_until and [a[1] for a in questions] == [
        2
    ]  # in back-off: no query waits for it
    _, questions, _ = run_lookup(lookup_steps(200.0, NAME, wire.A, name_servers, TIMEOUTS), world, 200.0)
    assert [a[1] for a in questions] == [1, 2]
    for _ in range(20):
        name_servers.record_failure(name_servers.all[0], 300.0, "no")
    assert name_servers.all[0].back_off_until <= 300 + 1.25 * MAX_BACK_OFF


def test_a_look_up_is_bounded_whatever_the_outcome_of_its_questions():
    for took in (0.0, 0.4, 9.0):
        found, questions, now = run_lookup(
            lookup_steps(0.0, NAME, wire.A, servers(), TIMEOUTS), lambda n, a, t=took: (t, None)
        )
        assert isinstance(found, Failed) and now <= 5.0 and len(questions) <= 6


@pytest.mark.parametrize("code", [1, 4])
def test_a_server_that_rejects_edns_is_queried_without_it(code):
    def world(now, ask):
        if ask.payload:
            return 0.01, reply_of(ask, code=code)
        return 0.01, reply_of(ask, wire.Record(ask.name, wire.A, 5, "127.0.0.1"))

    found, questions, _ = run_lookup(lookup_steps(0.0, NAME, wire.A, servers(), TIMEOUTS), world)
    assert found.records and [a[4] for a in questions] == [True, False] and {a[1] for a in questions} == {1}


@pytest.mark.parametrize("code", [2, 5])
def test_codes_2_and_5_are_failures_of_a_server_and_no_empty_list(code):
    found, questions, _ = run_lookup(
        lookup_steps(0.0, NAME, wire.A, servers(2), TIMEOUTS), lambda n, a: (0.01, reply_of(a, code=code))
    )
    assert (
        isinstance(found, Failed)
        and [a[1] for a in questions] == [1, 2, 1, 2]
        and f"code {code}" in str(found)
    )


def test_no_such_name_an_empty_answer_and_a_referral_differ():
    soa, ns = wire.Record(N("x.y.z"), wire.SOA, 60, (1, 7)), wire.Record(N("x.y.z"), wire.NS, 60, N("n.s.t"))
    ends = [
        run_lookup(lookup_steps(0.0, NAME, wire.A, servers(), TIMEOUTS), lambda n, a, w=w: (0.01, w(a)))[0]
        for w in (
            lambda a: reply_of(a, code=3, authority=(soa,)),
            lambda a: reply_of(a, authority=(soa,)),
            lambda a: reply_of(a),
            lambda a: reply_of(a, authority=(ns,)),
        )
    ]
    assert [(e.code, e.ttl) for e in ends[:3]] == [(3, 7), (0, 7), (0, 0)] and isinstance(ends[3], Failed)


def test_aliases_are_followed_across_answers_and_circular_chains_detected():
    rows = {
        "a.x.y.": record("a.x.y", wire.CNAME, N("b.x.y"), 9),
        "b.x.y.": record("b.x.y", wire.CNAME, N("c.x.y"), 4),
        "c.x.y.": record("c.x.y", wire.A, "127.0.0.1", 60),
    }
    found, questions, _ = run_lookup(
        lookup_steps(0.0, N("a.x.y"), wire.A, servers(), TIMEOUTS),
        lambda n, a: (0.01, reply_of(a, rows[wire.format_name(a.name)])),
    )
    assert [r.data for r in found.records] == ["127.0.0.1"] and found.ttl == 4 and len(questions) == 3
    rows["c.x.y."] = record("c.x.y", wire.CNAME, N("A.x.y"))
    found, _, _ = run_lookup(
        lookup_steps(0.0, N("a.x.y"), wire.A, servers(), TIMEOUTS),
        lambda n, a: (0.01, reply_of(a, *rows.values())),
    )
    assert isinstance(found, Failed) and "circle" in str(found)
    chain = [record(f"h{i}.x.y", wire.CNAME, N(f"h{i + 1}.x.y")) for i in range(40)]
    found, _, _ = run_lookup(
        lookup_steps(0.0, N("h0.x.y"), wire.A, servers(), TIMEOUTS), lambda n, a: (0.01, reply_of(a, *chain))
    )
    assert isinstance(found, Failed) and "more than 8" in str(found)


def test_only_records_of_the_answer_section_under_the_name_count():
    reply = wire.Reply(
        1,
        0,
        False,
        (NAME, wire.A),
        (
            record("evil.x.y", wire.A, "6.6.6.6"),
            wire.Record(NAME, wire.A, 5, "127.0.0.1"),
            wire.Record(NAME, wire.TXT, 5, ("x",)),
        ),
        (wire.Record(NAME, wire.A, 5, "6.6.6.7"),),
    )
    assert [r.data for r in follow_aliases(reply, NAME, wire.A, [])[1]] == ["127.0.0.1"]


def test_a_minute_without_answers_keeps_the_last_answer_and_reports_its_age():
    # each look-up fails within its timeout, and the cached answer is returned with its age
    cache, name_servers = Cache(Lifetimes(), random.Random(1)), servers(2)
    cache.store(0.0, NAME, wire.SRV, 0, (wire.Record(NAME, wire.SRV, 5, (0, 0, 1, N("h.x.y"))),), 5)
    now, ages, questions = 5.0, [], 0
    while now < 65.0:
        found, asked, now = run_lookup(
            lookup_steps(now, NAME, wire.SRV, name_servers, TIMEOUTS), lambda n, a: (9.0, None), now
        )
        assert isinstance(found, Failed)
        last = cache.get_last(now, NAME, wire.SRV, str(found))
        assert last.stale and last.records
        ages.append(last.age(now))
        questions += len(asked)
        now += 5.0
    assert ages == sorted(ages) and ages[-1] > 55 and questions < 40
    found, asked, _ = run_lookup(
        lookup_steps(now, NAME, wire.SRV, name_servers, TIMEOUTS),
        lambda n, a: (0.01, reply_of(a, wire.Record(NAME, wire.SRV, 5, (0, 0, 1, N("h.x.y"))))),
        now,
    )
    assert found.records and len(asked) == 1


# ---- sockets ------------------------------------------------------------------------------------------


def world(count: int = 1, host: str = "127.0.0.1"):
    hub = Hub(lambda text: None)
    name_servers = [NameServer(hub, host) for _ in range(count)]
    for server in name_servers:
        server.srv("_tds._tcp.x.example.", (0, 5, 1433, "h.x.example.", "127.0.0.1"), ttl=60)
    return (
        hub,
        name_servers,
        Resolver(hub, [s.address for s in name_servers], SHORT_TIMEOUTS, rng=random.Random(7)),
    )


def record_data(answer):
    return [record.data for record in answer.records]


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_an_answer_is_queried_once_and_cached(host):
    hub, [server], resolver = world(host=host)

    def scenario():
        first = resolver.lookup(NAME, wire.SRV)
        assert (
            record_data(first) == [(0, 5, 1433, N("h.x.example"))]
            and resolver.lookup(NAME, wire.SRV) is first
        )
        assert len(server.questions) == 1
        assert resolver.lookup(NAME, wire.SRV, bypass_cache=True) is not first and len(server.questions) == 2

    run_scenario(hub, scenario)


@pytest.mark.parametrize(
    "act",
    [
        AnswerBehaviour(delay=0.05, number=7),
        AnswerBehaviour(delay=0.05, question="other.example."),
        AnswerBehaviour(drop=True),
        AnswerBehaviour(raw=b"\0" * 40),
        AnswerBehaviour(code=2),
        AnswerBehaviour(code=5),
        AnswerBehaviour(truncate=True, stream="stall"),
        AnswerBehaviour(truncate=True, stream="cut"),
        AnswerBehaviour(truncate=True, stream="lie"),
        AnswerBehaviour(truncate=True, stream="refuse"),
        AnswerBehaviour(raw=b"\0\1\x84\0\0\1\0\1\0\0\0\0\xc0\x0c"),
    ],
    ids=["number", "question", "lost", "noise", "2", "5", "stall", "cut", "lie", "refuse", "circle"],
)
def test_another_server_answers_when_the_first_one_fails(act):
    hub, [bad, good], resolver = world(2)
    bad.behaviour = lambda asked: act

    def scenario():
        began = time.monotonic()
        assert record_data(resolver.lookup(NAME, wire.SRV)) == [(0, 5, 1433, N("h.x.example"))]
        assert time.monotonic() - began < 1.5 and len(good.questions) == 1
        assert resolver.servers.all[0].failures == 1

    run_scenario(hub, scenario)


def test_a_forged_answer_that_arrives_first_is_ignored():
    # forgeries from another sender, with another id and for another question arrive before the true answer
    hub, [server], resolver = world()

    def lie(query, **changed):
        reply = dns.message.make_response(query)
        name = changed.get("name", query.question[0].name.to_text())
        reply.question = [dns.rrset.from_text(name, 0, "IN", "SRV")]
        reply.answer.append(dns.rrset.from_text(name, 60, "IN", "SRV", "0 0 6666 evil.example."))
        reply.id = changed.get("number", query.id)
        return reply.to_wire()

    server.behaviour = lambda asked: AnswerBehaviour(delay=0.05, forged=lie)
    reply = server._reply

    def first(query, act, who):
        act.first = (lie(query, number=query.id ^ 1), lie(query, name="other.x.example."), b"\0\0")
        reply(query, act, who)

    server._reply = first

    def scenario():
        assert record_data(resolver.lookup(NAME, wire.SRV)) == [(0, 5, 1433, N("h.x.example"))]

    run_scenario(hub, scenario)


def test_many_unrelated_replies_move_the_question_to_tcp():
    hub, [server], resolver = world()
    server.behaviour = lambda asked: AnswerBehaviour(first=(b"\0" * 12,) * 60)

    def scenario():
        assert record_data(resolver.lookup(NAME, wire.SRV)) == [(0, 5, 1433, N("h.x.example"))]
        assert [asked.stream for asked in server.questions] == [False, True]

    run_scenario(hub, scenario)


def test_an_answer_of_64_kb_with_1000_targets_is_read_over_tcp():
    hub, [server], resolver = world()
    resolver.timeouts = LookupTimeouts(5.0, 12.0)  # the stand-in takes long to build the answer
    server.put(
        "_tds._tcp.x.example.",
        "SRV",
        *(f"0 1 {port} engine-number-{port:05}.with.a.long.name.x." for port in range(1, 1001)),
    )

    def scenario():
        found = resolver.lookup(NAME, wire.SRV)
        assert len(found.records) == 1000 and [a.stream for a in server.questions] == [False, True]

    run_scenario(hub, scenario)


def test_query_ids_and_ports_differ_between_questions():
    hub, [server], resolver = world()
    seen, reply = [], server._reply
    server._reply = lambda query, act, who: (seen.append((query.id, who[1])), reply(query, act, who))

    def scenario():
        for _ in range(12):
            resolver.lookup(NAME, wire.SRV, bypass_cache=True)
        assert len({number for number, _ in seen}) > 10 and len({port for _, port in seen}) > 10

    run_scenario(hub, scenario)


def test_the_same_question_from_many_tasks_is_sent_once_and_others_are_bounded():
    hub, [server], resolver = world()
    server.behaviour = lambda asked: AnswerBehaviour(delay=0.1)
    for at in range(40):
        server.put(f"h{at}.x.example.", "A", "127.0.0.1", ttl=60)
    found = []

    def scenario():
        for _ in range(8):
            hub.spawn(lambda: found.append(resolver.lookup(NAME, wire.SRV)))
        hub.sleep(0.3)
        assert len(found) == 8 and len(server.questions) == 1
        began = time.monotonic()
        answers = resolver.lookup_many(
            [(N(f"h{at}.x.example"), wire.A) for at in range(40)] + [(N("no.x.example"), wire.A)]
        )
        assert [record_data(a) for a in answers[:40]] == [["127.0.0.1"]] * 40 and answers[40].code == 3
        assert 0.25 < time.monotonic() - began < 1.5  # 16 at a time

    run_scenario(hub, scenario)


def test_the_last_answer_is_stale_while_no_server_answers():
    hub, [server], resolver = world()
    server.srv("_tds._tcp.x.example.", (0, 5, 1433, "h.x.example.", "127.0.0.1"), ttl=1)

    def scenario():
        resolver.lookup(NAME, wire.SRV)
        server.behaviour = lambda asked: AnswerBehaviour(drop=True)
        hub.sleep(1.05)
        late = resolver.lookup(NAME, wire.SRV)
        assert (
            late.stale and record_data(late) and late.age(time.monotonic()) > 1 and "no answer" in late.reason
        )
        with pytest.raises(Failed):
            resolver.lookup(N("never.x.example"), wire.SRV)

    run_scenario(hub, scenario)


def test_a_look_up_fails_while_no_descriptor_is_free_and_succeeds_afterwards(monkeypatch):
    hub, [server], resolver = world()

    def none(*_):
        raise OSError(24, "Too many open files")

    def scenario():
        monkeypatch.setattr("aspenrill.resolver.client.socket.socket", none)
        with pytest.raises(Failed, match="Too many open files"):
            resolver.lookup(NAME, wire.SRV)
        monkeypatch.undo()
        assert resolver.lookup(NAME, wire.SRV).records

    run_scenario(hub, scenario)
