"""What goes over the wire between processes of a fleet: tags, keys, repeats, sizes, streams. No sockets."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Raw

from aspenrill.errors import DiskTrouble, FleetConfigTrouble, KeyTrouble, StateTrouble, WireTrouble
from aspenrill.fleet import config
from aspenrill.fleet.durable import FILE, Durable
from aspenrill.fleet.interface import Place, State
from aspenrill.fleet.peers import wire
from aspenrill.fleet.peers.detector import Pace
from aspenrill.fleet.peers.events import Self
from aspenrill.fleet.peers.exchange import Exchange, Seal
from aspenrill.fleet.peers.keys import Keys, read_keys
from aspenrill.fleet.peers.node import Peers
from aspenrill.fleet.peers.rumours import Rumours

OLD, NEW = b"o" * 32, b"n" * 32
LIFE = b"l" * 8
ME = "a", 7, LIFE


def news(name: str = "b", state: State = State.ALIVE, **more) -> wire.News:
    return wire.News(
        **{
            "name": name,
            "incarnation": 5,
            "life": b"m" * 8,
            "claim": 0,
            "state": int(state),
            "host": "10.0.0.2",
            "port": 80,
            **more,
        }
    )


def datagram(keys: Keys, message=None, *pieces: wire.News, count: int = 1, to: bytes = LIFE) -> bytes:
    return wire.seal(keys, ME, count, to, message, [Raw(wire.encode(one)) for one in pieces], [])


def refused(keys: Keys, data: bytes) -> str:
    with pytest.raises(WireTrouble) as why:
        wire.unseal(keys, data)
    return why.value.reason


def test_what_is_sealed_comes_out_and_nothing_else_does():
    keys = Keys("f", [OLD])
    data = datagram(keys, wire.Mail("overload", b"x" * 900), news())
    packet = wire.unseal(keys, data)
    assert (packet.sender, packet.life, packet.message.body) == ("a", LIFE, b"x" * 900)
    assert packet.news == [news()] and len(data) <= wire.MOST_DATAGRAM
    for at in range(len(data)):
        spoilt = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        assert refused(keys, spoilt) in ("version", "key", "tag")
        assert refused(keys, data[:at]) in ("cut", "tag")
    assert refused(keys, data + b"x" * 1200) == "too large"
    with pytest.raises(ValueError):
        datagram(keys, None, *[news(f"member-{n}") for n in range(40)])


def test_the_largest_mail_goes_with_whatever_else_there_is_to_tell():
    long = "x" * 48
    peers = Peers(
        Self(
            long,
            1 << 61,
            LIFE,
            ("1234:5678:9abc:def0:1234:5678:9abc:def0", 65535),
            Place("s" * 32, "b" * 32, "h" * 32),
        ),
        Keys("f", [OLD]),
        Pace(),
        random.Random(1),
        0.0,
    )
    for number, state in enumerate((State.SUSPECT, State.ALIVE)):
        name = f"{number}" * 48
        peers.table.merge(
            0.0,
            news(
                name,
                state,
                incarnation=1 << 61,
                accuser=long,
                site="s" * 32,
                building="b" * 32,
                hall="h" * 32,
            ),
        )
        peers.put(0.0, "t" * 32, b"v" * 600)
        assert peers.post(0.0, name, "p" * 32, b"b" * 900)
        peers.detector.tick(1.0)
    assert max(len(data) for _, data in peers.take_out()) <= wire.MOST_DATAGRAM


def test_two_keys_at_once_and_the_fleets_name():
    one, both, other = Keys("f", [OLD]), Keys("f", [NEW, OLD]), Keys("g", [OLD])
    assert wire.unseal(both, datagram(one)).sender == "a"
    assert refused(one, datagram(both)) == "key"  # the first makes tags
    assert refused(other, datagram(one)) == "tag"


@pytest.mark.parametrize(
    "spoilt",
    [
        news(state=7),
        news(port=0),
        news(host="engine.example"),
        news(life=b"x"),
        news(name="x" * 49),
        news(incarnation=-1),
        news(site="s" * 33),
        "text",
        7,
    ],
)
def test_forms_that_are_none(spoilt):
    keys = Keys("f", [OLD])
    assert refused(keys, datagram(keys, None, spoilt)) == "form"


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=300))
def test_whatever_a_key_holder_sends_is_refused_or_a_packet(body):
    keys = Keys("f", [OLD])
    head = wire.VERSION + keys.first.id
    data = head + wire.tag(keys.first.datagrams, head, body) + body
    try:
        wire.unseal(keys, data)
    except WireTrouble as why:
        assert why.reason in ("form", "cut")


class ForgetsTheWindow(wire.Replays):
    """Planted: takes whatever is within the window."""

    def check(self, life, count):
        self._seen.pop(life, None)
        super().check(life, count)


class ForgetsTheAge(wire.Replays):
    """Planted: what is behind the window counts as new."""

    def check(self, life, count):
        top = self._seen.get(life, (-1, 0))[0]
        if top - count < self.window:
            super().check(life, count)


def taken_once(replays: wire.Replays, counts: list[int]) -> None:
    """Each count is taken once at most, and each that is not older than the window is taken."""
    taken, top = set(), -1
    for count in counts:
        try:
            replays.check(LIFE, count)
        except WireTrouble:
            assert count in taken or top - count >= replays.window
        else:
            assert count not in taken and top - count < replays.window
            taken.add(count)
            top = max(top, count)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.integers(0, 60), max_size=80))
def test_each_datagram_counts_once(counts):
    taken_once(wire.Replays(window=16), counts)


@pytest.mark.parametrize("planted", [ForgetsTheWindow, ForgetsTheAge])
def test_the_check_of_repeats_finds_what_is_planted(planted):
    with pytest.raises(AssertionError):
        taken_once(planted(window=16), [5, 5, 40, 3, 41])


def test_few_senders_are_remembered():
    replays = wire.Replays(most=3)
    for sender in b"abcd":
        replays.check(bytes([sender]) * 8, 1)
    assert len(replays._seen) == 3


def test_least_told_first_then_the_newest_and_each_some_times():
    rumours, seen = Rumours(10.0), []
    for name in "abc":
        rumours.add(0.0, name, Raw(wire.encode(name)))
    rumours.add(0.0, "a", Raw(wire.encode("A")))
    while rumours:
        seen += [bytes(raw)[1:].decode() for raw in rumours.pick(0.0, 4, 9, limit=3)[0]]
    assert "".join(seen) == "AcbAcbAcb"[:2] + "".join(seen)[2:] and sorted(seen) == sorted("Abc" * 3)
    rumours.add(0.0, "a", Raw(b"\xa1a"))
    assert rumours.pick(11.0, 99, 9, limit=3)[0] == [] and not rumours


# ---- streams ----------------------------------------------------------------------------------------------


def machine(name: str, port: int, keys: Keys | None = None) -> Peers:
    me = Self(name, 10 + port, name.encode() * 8, ("10.0.0.1", port), Place("s"))
    return Peers(me, keys or Keys("f", [OLD]), Pace(), random.Random(port), 0.0)


def converse(caller: Exchange, called: Exchange) -> list[tuple[bool, bytes]]:
    """All frames; True where the called one gets them."""
    frames, at = [(True, caller.greet())], 0
    while at < len(frames):
        to, data = frames[at]
        at += 1
        frames += [(not to, more) for more in (called if to else caller).take(1.0, data)]
    return frames


def test_a_whole_exchange_brings_both_to_the_same():
    a, b = machine("a", 1), machine("b", 2)
    for number in range(700):
        side = a if number % 2 else b
        side.table.merge(0.0, news(f"n{number}", life=number.to_bytes(8, "big")))
        side.board.hear(0.0, wire.Told(f"n{number}", 5, "load", number, b"v" * 300))
    a.put(0.0, "load", b"a's")
    mine, theirs = a.calling(b.table.me.life, b"1" * 16), b.called(b"2" * 16)
    frames = converse(mine, theirs)
    assert mine.over and theirs.over and max(len(data) for _, data in frames) < 65536 and len(frames) > 6
    for side in (a, b):
        assert len(side.table) == 702 and len(list(side.board.entries("load"))) == 701
    again = converse(a.calling(b.table.me.life, b"3" * 16), b.called(b"4" * 16))
    assert sum(len(data) for _, data in again) < sum(len(data) for _, data in frames) / 2


def test_a_recorded_stream_says_nothing_a_second_time():
    a, b = machine("a", 1), machine("b", 2)
    frames = [data for to, data in converse(a.calling(b.table.me.life, b"1" * 16), b.called(b"2" * 16)) if to]
    again = b.called(b"3" * 16)
    list(again.take(2.0, frames[0]))
    with pytest.raises(WireTrouble) as why:
        list(again.take(2.0, frames[1]))
    assert why.value.reason == "stream tag"
    restarted = machine("b", 2)
    restarted.table.restate(0.0, life=b"z" * 8)
    with pytest.raises(WireTrouble) as why:
        list(restarted.called(b"4" * 16).take(2.0, frames[0]))
    assert why.value.reason == "stream addressee"


@pytest.mark.parametrize("keys, reason", [(Keys("f", [NEW]), "stream key"), (Keys("g", [OLD]), "stream tag")])
def test_a_foreign_stream(keys, reason):
    a, b = machine("a", 1, keys), machine("b", 2)
    with pytest.raises(WireTrouble) as why:
        converse(a.calling(b.table.me.life, b"1" * 16), b.called(b"2" * 16))
    assert why.value.reason == reason and len(b.table) == 1


def test_frames_out_of_their_order():
    seal, other = Seal(Keys("f", [OLD]), True), Seal(Keys("f", [OLD]), False)
    first, second = (seal.close(wire.Ping(n)) for n in (1, 2))
    with pytest.raises(WireTrouble):
        other.open(second)
    with pytest.raises(WireTrouble) as why:
        other.open(first)  # its tag is right, but a Ping is no frame
    assert why.value.reason == "stream form"


# ---- files ------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text, mode, why",
    [
        ("ab" * 32, 0o644, "by others"),
        ("", 0o600, "0 keys"),
        ("xy" * 32, 0o600, "not hex"),
        ("ab" * 31, 0o600, "less than"),
        ("\n".join(["ab" * 32, "cd" * 32, "ef" * 32]), 0o600, "3 keys"),
        ("ab" * 32 + "\n" + "ab" * 32, 0o600, "twice"),
        ("ä" * 64, 0o600, "not hex"),
    ],
)
def test_key_files_that_cannot_be_used(tmp_path, text, mode, why):
    path = tmp_path / "keys"
    path.write_text(text)
    path.chmod(mode)
    with pytest.raises(KeyTrouble, match=why):
        read_keys(str(path), "f")


def test_key_files(tmp_path):
    path = tmp_path / "keys"
    path.write_text("# the new one\n" + "ab" * 32 + "\n\n" + "cd" * 40)
    path.chmod(0o600)
    assert len(read_keys(str(path), "f").by_id) == 2
    with pytest.raises(KeyTrouble, match="No such file"):
        read_keys(str(tmp_path / "none"), "f")


def test_what_is_kept_outlives_the_process_and_is_one_processs(tmp_path):
    store = Durable(tmp_path / "s")
    store.put("p", "k", b"1")
    store.put("p", "k", b"2")
    store.put("p", "l", b"3")
    store.put("p", "l", None)
    store.close()
    store = Durable(tmp_path / "s")
    assert store.records("p") == {"k": b"2"} and store.records("q") == {}
    store._db.execute("PRAGMA max_page_count=1")
    with pytest.raises(DiskTrouble, match="full"):
        for number in range(100):
            store.put("p", str(number), b"x" * 600)
    store.close()


@pytest.mark.parametrize("at, what", [(0, b"no database at all, but long enough"), (4096, b"\xff" * 4096)])
def test_a_damaged_file_is_refused_whole(tmp_path, at, what):
    store = Durable(tmp_path)
    for number in range(200):
        store.put("p", str(number), b"x" * 200)
    store.close()
    with open(tmp_path / FILE, "r+b") as file:
        file.seek(at)
        file.write(what)
    with pytest.raises(StateTrouble, match=FILE):
        Durable(tmp_path)
    (tmp_path / FILE).unlink()
    Durable(tmp_path).close()  # nothing of the refused one is still open


def test_a_damaged_record_is_found_though_the_file_is_whole(tmp_path):
    store = Durable(tmp_path)
    store.put("p", "k", b"promise 7")
    store.close()
    path = tmp_path / FILE
    path.write_bytes(path.read_bytes().replace(b"promise 7", b"promise 5"))
    with pytest.raises(StateTrouble, match="record k of p"):
        Durable(tmp_path)


GOOD = 'name = "a"\nkey_file = "k"\nstate = "s"\n'


@pytest.mark.parametrize(
    "more, fault",
    [
        ("nmae = 1", "nmae: no such field"),
        ("seeds = ['x']", "seeds[0]"),
        ("place = 'a/b/c/d'", "place"),
        ("voters = ['a', 'a']", "voters[1]"),
        ("alone = 2", "alone"),
        ("[times]\nperiod_ms = 1", "times.period_ms"),
        ("[times]\nsuspect_least_ms = 5000", "times.suspect_least_ms"),
        ("listen = '0.0.0.0:1'", "advertise"),
        ("fleet = 'ä'", "fleet"),
        ("overload = 1", "overload"),
    ],
)
def test_each_fault_of_a_configuration_by_its_field(more, fault):
    with pytest.raises(FleetConfigTrouble) as why:
        config.read_text(GOOD + more)
    assert str(why.value).startswith(fault)


def test_a_configuration():
    text = "[fleet]\n" + GOOD + "place = 'a/b'\nseeds = ['127.0.0.1:1']\n[fleet.overload]\nx = 1"
    found = config.read_text(text)
    assert found.place == Place("a", "b") and found.seeds == (("127.0.0.1", 1),) and not found.enabled
    row = found.tables["overload"]
    row.end()
    with pytest.raises(FleetConfigTrouble, match="fleet.overload.x"):
        found.check()
