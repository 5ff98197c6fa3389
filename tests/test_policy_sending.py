"""What is sent, with which limits, and what is not sent. The module alone, without the bench."""
from __future__ import annotations

import pytest
from gateways import fill, gateway, sends, timers

from aspenrill import api
from aspenrill.api import AttemptEnded, Effect, Outcome


def test_an_attempt_leaves_time_for_another_where_its_answer_may_be_lost():
    for effect, more, limited in ((Effect.SAFE, {}, True), (Effect.UNSAFE, {}, False),
                                  (Effect.SAFE, {"may_cancel": False}, False)):
        spec = api.QueryClass(aim=1.0, patience=5.0, effect=effect)
        g = gateway("a", "b", classes=(spec,), gateways=9, costs_told=True,
                    **{"may_probe": True, "may_cancel": True} | more)
        g.classes[0].latency, g.classes[0].work, g.ordinary = 0.2, 0.2, 2.5
        g.handle(0.1, api.Request("r", 0, 5.0))
        send = sends(timers(g, 0.3))[0]
        assert (0 < send.timeout < 0.8) is limited
        if limited:
            g.handle(0.1 + send.timeout, AttemptEnded("r", 0, send.engine, Outcome.TIMEOUT, 0.6, False))
            assert [s.engine for s in sends(timers(g, 1.0))] != [send.engine] and g.queries["r"].attempts[1:]


def test_nothing_is_sent_for_what_is_out_or_ended():
    g = gateway("a", "b")
    fill(g, 1)
    query = g.queries["r0"]
    assert not g._send(query, g.fleet.engines["b"])  # one attempt out
    g.handle(0.2, AttemptEnded("r0", 0, "a", Outcome.OK, 0.1, True))
    assert not g._send(query, g.fleet.engines["b"])  # its end was told


def test_grants_are_ample_where_only_memory_in_use_counts():
    for pages, most in ((True, 4.0), (False, 1.0)):
        g = gateway("a", grants_heeded=True, shortage_pages=pages)
        actions = g.handle(0.1, api.Request("r", 0, 5.0, memory_mb=100.0))
        terms = [a for a in actions if isinstance(a, api.SetTerms)]
        assert terms[0].memory_mb == pytest.approx(100.0 * most)
