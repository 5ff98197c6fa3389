"""The relay on real sockets, and the random link model behind it."""

from __future__ import annotations

import random
import socket
import threading
import time

import pytest

from standins.faults import Link, NetworkFaults
from standins.links import Relay


class Ends:
    """The sockets of three processes and the relay between them."""

    def __init__(self, seed: int = 1) -> None:
        self.relay = Relay(seed)
        self.doors, self.hosts, self.udp, self.tcp = {}, {}, {}, {}
        net = f"127.{random.SystemRandom().randrange(64, 250)}"
        for number, name in enumerate("abc", 1):
            self.hosts[name] = host = f"{net}.1.{number}"
            udp = self.udp[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.bind((host, 0))
            udp.settimeout(10)
            self.tcp[name] = socket.create_server(udp.getsockname())
            self.tcp[name].settimeout(10)
            self.doors[name] = self.relay.open_address(name, udp.getsockname(), f"{net}.2.{number}")

    def send(self, a: str, b: str, data: bytes) -> None:
        self.udp[a].sendto(data, self.doors[b])

    def connect(self, a: str, b: str) -> tuple[socket.socket, socket.socket]:
        near = socket.create_connection(self.doors[b], 10, (self.hosts[a], 0))
        far, source = self.tcp[b].accept()
        assert source[0] == self.doors[a][0]
        far.settimeout(10)
        return near, far

    def counted(self, what: str, number: int) -> dict:
        """Wait until a counter of the relay has reached a number; return all counters."""
        end = time.monotonic() + 20
        while (counts := self.relay.counts()).get(what, 0) < number:
            assert time.monotonic() < end, counts
            time.sleep(0.01)
        return counts

    def silent(self, name: str) -> bool:
        self.udp[name].settimeout(0.1)
        try:
            return not self.udp[name].recv(100)
        except TimeoutError:
            return True
        finally:
            self.udp[name].settimeout(10)


@pytest.fixture
def ends():
    found = Ends()
    yield found
    found.relay.close()
    for sock in (*found.udp.values(), *found.tcp.values()):
        sock.close()
    assert found.relay.process.returncode == 0


def test_a_datagram_arrives_from_its_senders_relay_address(ends):
    ends.send("a", "b", b"one")
    assert ends.udp["b"].recvfrom(100) == (b"one", ends.doors["a"])
    ends.udp["b"].sendto(b"two", ends.doors["a"])  # an answer to the source address reaches the sender
    assert ends.udp["a"].recvfrom(100) == (b"two", ends.doors["b"])


def test_a_cut_is_one_way_and_heals(ends):
    ends.relay("cut", "a", "b")
    ends.send("a", "b", b"lost")
    ends.send("b", "a", b"back")
    ends.send("a", "c", b"aside")
    assert ends.udp["a"].recv(100) == b"back" and ends.udp["c"].recv(100) == b"aside"
    assert ends.counted("datagrams", 3)["lost"] == 1 and ends.silent("b")
    ends.relay("heal")
    ends.send("a", "b", b"whole")
    assert ends.udp["b"].recv(100) == b"whole"


def test_a_partition_can_be_changed(ends):
    for shape, cut in ((("a", "b"), "ab"), (("a,b",), "bc")):
        ends.relay("partition", *shape)
        ends.send(*cut, b"over")
        assert ends.silent(cut[1])
    ends.send("a", "b", b"same side")
    assert ends.udp["b"].recv(100) == b"same side"


def test_loss_repetition_and_delay(ends):
    ends.relay("link", "a", "*", "loss=0.3", "repeat=0.5")
    for number in range(200):
        ends.send("a", "b", bytes([number]))
    counts = ends.counted("datagrams", 200)
    assert 30 <= counts["lost"] <= 90 and 40 <= counts["repeated"] <= 110
    for _ in range(200 - counts["lost"] + counts["repeated"]):
        ends.udp["b"].recv(100)
    ends.relay("link", "a", "b", "delay_ms=300")
    began = time.monotonic()
    ends.send("a", "b", b"late")
    assert ends.udp["b"].recv(100) == b"late" and time.monotonic() - began >= 0.3


def test_datagrams_are_reordered(ends):
    ends.relay("link", "a", "b", "jitter_ms=300")
    for number in range(50):
        ends.send("a", "b", bytes([number]))
    came = [ends.udp["b"].recv(100)[0] for _ in range(50)]
    assert sorted(came) == list(range(50)) != came


def test_a_stream_survives_loss_and_waits_at_a_cut(ends):
    near, far = ends.connect("a", "b")
    ends.relay("link", "a", "b", "loss=0.2", "jitter_ms=5", "delay_ms=5")
    sent = random.Random(1).randbytes(1_000_000)
    sender = threading.Thread(target=lambda: (near.sendall(sent), near.shutdown(socket.SHUT_WR)))
    sender.start()
    got = b""
    while piece := far.recv(65_536):
        got += piece
    sender.join(10)
    assert got == sent
    ends.relay("cut", "b", "a")
    far.sendall(b"back")
    near.settimeout(0.2)
    with pytest.raises(TimeoutError):
        near.recv(10)
    ends.relay("heal")
    near.settimeout(10)
    assert near.recv(10) == b"back"
    far.close()
    assert near.recv(10) == b""
    near.close()


def test_a_connection_over_a_cut_is_accepted_after_healing(ends):
    ends.relay("cut", "*", "b")
    near = socket.create_connection(ends.doors["b"], 10, (ends.hosts["a"], 0))
    ends.tcp["b"].settimeout(0.2)
    with pytest.raises(TimeoutError):
        ends.tcp["b"].accept()
    ends.relay("heal")
    ends.tcp["b"].settimeout(10)
    far, _ = ends.tcp["b"].accept()
    near.close()
    far.close()


def test_a_rate_limit_delays_a_stream(ends):
    near, far = ends.connect("a", "b")
    ends.relay("link", "a", "b", "rate=100000")
    began = time.monotonic()
    near.sendall(bytes(30_000))
    got = 0
    while got < 30_000:
        got += len(far.recv(65_536))
    assert time.monotonic() - began >= 0.3
    near.close()
    far.close()


def test_a_closed_receiver_refuses_connections(ends):
    ends.tcp["b"].close()
    near = socket.create_connection(ends.doors["b"], 10, (ends.hosts["a"], 0))
    with near:
        try:
            assert near.recv(10) == b""
        except ConnectionResetError:
            pass


def test_unknown_senders_are_dropped(ends):
    unknown = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    unknown.sendto(b"hello", ends.doors["b"])
    assert ends.counted("stranger", 1) and ends.silent("b")
    with socket.create_connection(ends.doors["b"], 10) as near:
        near.settimeout(10)
        assert near.recv(10) == b""
    unknown.close()


@pytest.mark.parametrize(
    "line",
    [
        "link a b loss=2",
        "link a b lost=0.1",
        "link a b loss",
        "link a d loss=1",
        "cut a",
        "cut a d",
        "part a,d",
        "sever a b",
        "open x",
        "link a b rate=-1",
        "heal a",
    ],
)
def test_invalid_commands_change_nothing(ends, line):
    with pytest.raises(ValueError):
        ends.relay(*line.split())
    ends.send("a", "b", b"well")
    assert ends.udp["b"].recv(100) == b"well"


# ---- the link model ------------------------------------------------------------------------------------


def fates(seed: int, **ab: float) -> list[list[float]]:
    faults = NetworkFaults(seed, Link(loss=0.3, jitter_ms=10, repeat=0.2))
    faults.link("a", "b", Link(**ab))
    found = []
    for _ in range(200):
        faults.datagram_delays(0.0, "a", "b", 100)
        found.append(faults.datagram_delays(0.0, "b", "a", 100))
    return found


def test_a_seed_is_reproducible_and_links_are_independent():
    assert fates(1) == fates(1, loss=0.9, jitter_ms=3) != fates(2)
    one, other = NetworkFaults(1, Link(jitter_ms=10)), NetworkFaults(1, Link(loss=0.5, jitter_ms=10))
    delays = [one.datagram_delays(0.0, "a", "b", 1) for _ in range(100)]
    kept = [fate for fate in (other.datagram_delays(0.0, "a", "b", 1) for _ in range(100)) if fate]
    assert kept == delays[: len(kept)]  # losses draw no delays


def test_a_rate_limited_link_drops_what_would_wait_too_long():
    faults = NetworkFaults(1, Link(rate=1000))
    came = [faults.datagram_delays(0.0, "a", "b", 500) for _ in range(10)]
    assert [fate[0] for fate in came if fate] == [0.5, 1.0, 1.5, 2.0] and came[4:] == [[]] * 6
    assert faults.datagram_delays(10.0, "a", "b", 500) == [0.5]
