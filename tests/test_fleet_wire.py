"""The peer wire format: tags, keys, replays, sizes and streams; also key files, store and configuration."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Raw

from aspenrill.errors import DiskTrouble, FleetConfigTrouble, KeyTrouble, StateTrouble, WireTrouble
from aspenrill.fleet import config
from aspenrill.fleet.durable import DATABASE_FILE, DurableStore
from aspenrill.fleet.interface import Place, State
from aspenrill.fleet.peers import wire
from aspenrill.fleet.peers.detector import Timing
from aspenrill.fleet.peers.events import LocalNode
from aspenrill.fleet.peers.exchange import Exchange, StreamAuth
from aspenrill.fleet.peers.gossip_queue import GossipQueue
from aspenrill.fleet.peers.keys import KeyRing, read_keys
from aspenrill.fleet.peers.node import PeerNode

OLD, NEW = b"o" * 32, b"n" * 32
BOOT_ID = b"l" * 8
ME = "a", 7, BOOT_ID


def update(name: str = "b", state: State = State.ALIVE, **more) -> wire.MemberUpdate:
    return wire.MemberUpdate(
        **{
            "name": name,
            "incarnation": 5,
            "boot_id": b"m" * 8,
            "refutations": 0,
            "state": int(state),
            "host": "10.0.0.2",
            "port": 80,
            **more,
        }
    )


def datagram(
    keys: KeyRing, message=None, *pieces: wire.MemberUpdate, count: int = 1, to: bytes = BOOT_ID
) -> bytes:
    return wire.seal(keys, ME, count, to, message, [Raw(wire.encode(one)) for one in pieces], [])


def rejection(keys: KeyRing, data: bytes) -> str:
    with pytest.raises(WireTrouble) as why:
        wire.unseal(keys, data)
    return why.value.reason


def test_only_an_unmodified_datagram_is_accepted():
    keys = KeyRing("f", [OLD])
    data = datagram(keys, wire.ComponentMessage("overload", b"x" * 900), update())
    packet = wire.unseal(keys, data)
    assert (packet.sender, packet.boot_id, packet.message.body) == ("a", BOOT_ID, b"x" * 900)
    assert packet.updates == [update()] and len(data) <= wire.MAX_DATAGRAM
    for at in range(len(data)):
        malformed = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        assert rejection(keys, malformed) in ("version", "key", "tag")
        assert rejection(keys, data[:at]) in ("cut", "tag")
    assert rejection(keys, data + b"x" * 1200) == "too large"
    with pytest.raises(ValueError):
        datagram(keys, None, *[update(f"member-{n}") for n in range(40)])


def test_the_largest_message_and_gossip_fit_into_one_datagram():
    long = "x" * 48
    peers = PeerNode(
        LocalNode(
            long,
            1 << 61,
            BOOT_ID,
            ("1234:5678:9abc:def0:1234:5678:9abc:def0", 65535),
            Place("s" * 32, "b" * 32, "h" * 32),
        ),
        KeyRing("f", [OLD]),
        Timing(),
        random.Random(1),
        0.0,
    )
    for number, state in enumerate((State.SUSPECT, State.ALIVE)):
        name = f"{number}" * 48
        peers.table.merge(
            0.0,
            update(
                name,
                state,
                incarnation=1 << 61,
                reporter=long,
                site="s" * 32,
                building="b" * 32,
                hall="h" * 32,
            ),
        )
        peers.put(0.0, "t" * 32, b"v" * 600)
        assert peers.post(0.0, name, "p" * 32, b"b" * 900)
        peers.detector.tick(1.0)
    assert max(len(data) for _, data in peers.take_datagrams()) <= wire.MAX_DATAGRAM


def test_key_rotation_and_fleet_names():
    one, both, other = KeyRing("f", [OLD]), KeyRing("f", [NEW, OLD]), KeyRing("g", [OLD])
    assert wire.unseal(both, datagram(one)).sender == "a"
    assert rejection(one, datagram(both)) == "key"  # tags are made with the first key
    assert rejection(other, datagram(one)) == "tag"


@pytest.mark.parametrize(
    "malformed",
    [
        update(state=7),
        update(port=0),
        update(host="engine.example"),
        update(boot_id=b"x"),
        update(name="x" * 49),
        update(incarnation=-1),
        update(site="s" * 33),
        "text",
        7,
    ],
)
def test_malformed_updates_are_rejected(malformed):
    keys = KeyRing("f", [OLD])
    assert rejection(keys, datagram(keys, None, malformed)) == "form"


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=300))
def test_any_authentic_body_is_a_packet_or_rejected(body):
    keys = KeyRing("f", [OLD])
    head = wire.VERSION + keys.primary.id
    data = head + wire.tag(keys.primary.datagrams, head, body) + body
    try:
        wire.unseal(keys, data)
    except WireTrouble as why:
        assert why.reason in ("form", "cut")


class IgnoresTheBitmap(wire.ReplayFilter):
    """Defect: accepts repeats within the window."""

    def check(self, boot_id, count):
        self._seen.pop(boot_id, None)
        super().check(boot_id, count)


class IgnoresTheAge(wire.ReplayFilter):
    """Defect: accepts counters older than the window."""

    def check(self, boot_id, count):
        highest = self._seen.get(boot_id, (-1, 0))[0]
        if highest - count < self.window:
            super().check(boot_id, count)


def check_accepted_once(replay_filter: wire.ReplayFilter, counts: list[int]) -> None:
    """Each counter is accepted at most once, and the first time if it is not older than the window."""
    taken, highest = set(), -1
    for count in counts:
        try:
            replay_filter.check(BOOT_ID, count)
        except WireTrouble:
            assert count in taken or highest - count >= replay_filter.window
        else:
            assert count not in taken and highest - count < replay_filter.window
            taken.add(count)
            highest = max(highest, count)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.integers(0, 60), max_size=80))
def test_each_datagram_is_accepted_once(counts):
    check_accepted_once(wire.ReplayFilter(window=16), counts)


@pytest.mark.parametrize("defective", [IgnoresTheBitmap, IgnoresTheAge])
def test_the_replay_check_detects_defects(defective):
    with pytest.raises(AssertionError):
        check_accepted_once(defective(window=16), [5, 5, 40, 3, 41])


def test_the_number_of_remembered_senders_is_limited():
    replay_filter = wire.ReplayFilter(max_senders=3)
    for sender in b"abcd":
        replay_filter.check(bytes([sender]) * 8, 1)
    assert len(replay_filter._seen) == 3


def test_gossip_sends_the_least_sent_then_the_newest_up_to_the_limit():
    gossip, seen = GossipQueue(10.0), []
    for name in "abc":
        gossip.add(0.0, name, Raw(wire.encode(name)))
    gossip.add(0.0, "a", Raw(wire.encode("A")))
    while gossip:
        seen += [bytes(raw)[1:].decode() for raw in gossip.pick(0.0, 4, 9, limit=3)[0]]
    assert "".join(seen) == "AcbAcbAcb"[:2] + "".join(seen)[2:] and sorted(seen) == sorted("Abc" * 3)
    gossip.add(0.0, "a", Raw(b"\xa1a"))
    assert gossip.pick(11.0, 99, 9, limit=3)[0] == [] and not gossip


# ---- streams ----------------------------------------------------------------------------------------------


def peer_node(name: str, port: int, keys: KeyRing | None = None) -> PeerNode:
    me = LocalNode(name, 10 + port, name.encode() * 8, ("10.0.0.1", port), Place("s"))
    return PeerNode(me, keys or KeyRing("f", [OLD]), Timing(), random.Random(port), 0.0)


def run_exchange(caller: Exchange, called: Exchange) -> list[tuple[bool, bytes]]:
    """Every frame; True if it went to the callee."""
    frames, at = [(True, caller.start())], 0
    while at < len(frames):
        to, data = frames[at]
        at += 1
        frames += [(not to, more) for more in (called if to else caller).receive(1.0, data)]
    return frames


def test_an_exchange_synchronizes_both_sides():
    a, b = peer_node("a", 1), peer_node("b", 2)
    for number in range(700):
        side = a if number % 2 else b
        side.table.merge(0.0, update(f"n{number}", boot_id=number.to_bytes(8, "big")))
        side.shared.merge(0.0, wire.EntryUpdate(f"n{number}", 5, "load", number, b"v" * 300))
    a.put(0.0, "load", b"a's")
    mine, theirs = a.start_exchange(b.table.me.boot_id, b"1" * 16), b.accept_exchange(b"2" * 16)
    frames = run_exchange(mine, theirs)
    assert mine.done and theirs.done and max(len(data) for _, data in frames) < 65536 and len(frames) > 6
    for side in (a, b):
        assert len(side.table) == 702 and len(list(side.shared.entries("load"))) == 701
    again = run_exchange(a.start_exchange(b.table.me.boot_id, b"3" * 16), b.accept_exchange(b"4" * 16))
    assert sum(len(data) for _, data in again) < sum(len(data) for _, data in frames) / 2


def test_a_recorded_stream_is_rejected():
    a, b = peer_node("a", 1), peer_node("b", 2)
    frames = [
        data
        for to, data in run_exchange(
            a.start_exchange(b.table.me.boot_id, b"1" * 16), b.accept_exchange(b"2" * 16)
        )
        if to
    ]
    again = b.accept_exchange(b"3" * 16)
    list(again.receive(2.0, frames[0]))
    with pytest.raises(WireTrouble) as why:
        list(again.receive(2.0, frames[1]))
    assert why.value.reason == "stream tag"
    restarted = peer_node("b", 2)
    restarted.table.update_self(0.0, boot_id=b"z" * 8)
    with pytest.raises(WireTrouble) as why:
        list(restarted.accept_exchange(b"4" * 16).receive(2.0, frames[0]))
    assert why.value.reason == "stream addressee"


@pytest.mark.parametrize(
    "keys, reason", [(KeyRing("f", [NEW]), "stream key"), (KeyRing("g", [OLD]), "stream tag")]
)
def test_a_stream_with_a_foreign_key_is_rejected(keys, reason):
    a, b = peer_node("a", 1, keys), peer_node("b", 2)
    with pytest.raises(WireTrouble) as why:
        run_exchange(a.start_exchange(b.table.me.boot_id, b"1" * 16), b.accept_exchange(b"2" * 16))
    assert why.value.reason == reason and len(b.table) == 1


def test_frames_out_of_order_are_rejected():
    auth, other = StreamAuth(KeyRing("f", [OLD]), True), StreamAuth(KeyRing("f", [OLD]), False)
    first, second = (auth.seal(wire.Ping(n)) for n in (1, 2))
    with pytest.raises(WireTrouble):
        other.unseal(second)
    with pytest.raises(WireTrouble) as why:
        other.unseal(first)  # the tag is valid, but a Ping is not a frame
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
def test_invalid_key_files_are_rejected(tmp_path, text, mode, why):
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


def test_stored_records_survive_a_restart(tmp_path):
    store = DurableStore(tmp_path / "s")
    store.put("p", "k", b"1")
    store.put("p", "k", b"2")
    store.put("p", "l", b"3")
    store.put("p", "l", None)
    store.close()
    store = DurableStore(tmp_path / "s")
    assert store.records("p") == {"k": b"2"} and store.records("q") == {}
    store._database.execute("PRAGMA max_page_count=1")
    with pytest.raises(DiskTrouble, match="full"):
        for number in range(100):
            store.put("p", str(number), b"x" * 600)
    store.close()


@pytest.mark.parametrize(
    "offset, content", [(0, b"no database at all, but long enough"), (4096, b"\xff" * 4096)]
)
def test_a_damaged_database_is_rejected(tmp_path, offset, content):
    store = DurableStore(tmp_path)
    for number in range(200):
        store.put("p", str(number), b"x" * 200)
    store.close()
    with open(tmp_path / DATABASE_FILE, "r+b") as file:
        file.seek(offset)
        file.write(content)
    with pytest.raises(StateTrouble, match=DATABASE_FILE):
        DurableStore(tmp_path)
    (tmp_path / DATABASE_FILE).unlink()
    DurableStore(tmp_path).close()  # the rejected database is closed


def test_a_damaged_record_in_a_valid_database_is_detected(tmp_path):
    store = DurableStore(tmp_path)
    store.put("p", "k", b"promise 7")
    store.close()
    path = tmp_path / DATABASE_FILE
    path.write_bytes(path.read_bytes().replace(b"promise 7", b"promise 5"))
    with pytest.raises(StateTrouble, match="record k of p"):
        DurableStore(tmp_path)


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
def test_configuration_faults_name_the_field(more, fault):
    with pytest.raises(FleetConfigTrouble) as why:
        config.read_text(GOOD + more)
    assert str(why.value).startswith(fault)


def test_a_configuration():
    text = "[fleet]\n" + GOOD + "place = 'a/b'\nseeds = ['127.0.0.1:1']\n[fleet.overload]\nx = 1"
    found = config.read_text(text)
    assert found.place == Place("a", "b") and found.seeds == (("127.0.0.1", 1),) and not found.enabled
    row = found.tables["overload"]
    row.reject_unknown_fields()
    with pytest.raises(FleetConfigTrouble, match="fleet.overload.x"):
        found.check()
