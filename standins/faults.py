"""Network faults between processes, all drawn from one seed: loss, delay, cuts and partitions.

`NetworkFaults` decides for each message from A to B whether and when it arrives. The relay on real sockets
(`links`) and the simulation (`cluster`) share it. Each link and each kind of fault has its own random stream,
so a change of the loss on one link affects neither its delays nor other links.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, fields, replace

from aspenrill.fleet.interface import State

ANY = "*"  # wildcard in place of a process name
MAX_QUEUE_DELAY = 2.0  # seconds: a message that would wait longer for a slow link is lost
MAX_REORDER_DELAY = 0.5  # seconds by which a reordered message is delayed, at most


@dataclass(frozen=True, slots=True)
class Link:
    """The behaviour of one direction between two processes."""

    loss: float = 0.0  # share of messages lost
    repeat: float = 0.0  # share delivered twice
    reorder: float = 0.0  # share delayed so that later ones overtake it
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # added to the delay, uniform from 0
    rate: float = 0.0  # bytes a second; 0: no limit

    def __post_init__(self) -> None:
        for share in ("loss", "repeat", "reorder"):
            if not 0.0 <= getattr(self, share) <= 1.0:
                raise ValueError(f"{share} is a share from 0 to 1")
        if min(self.delay_ms, self.jitter_ms, self.rate) < 0:
            raise ValueError("delay_ms, jitter_ms and rate are 0 or more")

    @classmethod
    def read(cls, words: Iterable[str], base: Link | None = None) -> Link:
        """Parse words such as `loss=0.2`; other fields are taken from `base`."""
        names = {f.name for f in fields(cls)}
        changes = {}
        for word in words:
            name, sign, value = word.partition("=")
            if not sign or name not in names:
                raise ValueError(f"{word}: one of {', '.join(sorted(names))} with = and a number")
            changes[name] = float(value)
        return replace(base or cls(), **changes)


class NetworkFaults:
    """The links between named processes. Times are seconds of one clock, passed with each call."""

    def __init__(self, seed: int, link: Link | None = None) -> None:
        self.seed = seed
        self.default_link = link or Link()
        self._links: dict[tuple[str, str], Link] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._partition_side: dict[str, int] = {}
        self._link_free_at: dict[tuple[str, str], float] = {}
        self._streams: dict[tuple[str, str, str], random.Random] = {}

    # ---- configuration --------------------------------------------------------------------------------

    def link(self, a: str, b: str, link: Link) -> None:
        """Set the link from A to B; either may be `*`. The most specific rule applies: both, then A, then
        B."""
        self._links[a, b] = link

    def cut(self, a: str, b: str) -> None:
        """Cut one direction, from A to B. Either may be `*`."""
        self._cuts.add((a, b))

    def partition(self, *groups: Iterable[str]) -> None:
        """Set the partition. Processes that are in none of the groups form one more group."""
        self._partition_side = {name: number for number, group in enumerate(groups, 1) for name in group}

    def heal(self) -> None:
        """End all cuts and partitions; loss and delays stay."""
        self._cuts.clear()
        self._partition_side = {}

    def clear(self) -> None:
        """End all cuts and partitions, and restore the default link everywhere."""
        self.heal()
        self._links.clear()

    # ---- one message ----------------------------------------------------------------------------------

    def link_between(self, a: str, b: str) -> Link:
        """Return the link from A to B."""
        links = self._links
        if not links:
            return self.default_link
        for key in ((a, b), (a, ANY), (ANY, b), (ANY, ANY)):
            if key in links:
                return links[key]
        return self.default_link

    def open(self, a: str, b: str) -> bool:
        """Whether there is no cut or partition from A to B."""
        if self._partition_side and self._partition_side.get(a, 0) != self._partition_side.get(b, 0):
            return False
        return not self._cuts or self._cuts.isdisjoint(((a, b), (a, ANY), (ANY, b)))

    def random_stream(self, a: str, b: str, concern: str) -> random.Random:
        """Return the random stream of one kind of fault on one link."""
        stream = self._streams.get((a, b, concern))
        if stream is None:
            stream = self._streams[a, b, concern] = random.Random(f"{self.seed}/{a}/{b}/{concern}")
        return stream

    def round_trip_works(self, a: str, b: str) -> bool:
        """Whether a request from A to B and its reply get through now."""
        if not self.open(a, b) or not self.open(b, a):
            return False
        loss = 1 - (1 - self.link_between(a, b).loss) * (1 - self.link_between(b, a).loss)
        return not loss or self.random_stream(a, b, "contact").random() >= loss

    def datagram_delays(self, now: float, a: str, b: str, size: int) -> list[float]:
        """Return the delay in seconds of each copy of a datagram; an empty list if it is lost."""
        link = self.link_between(a, b)
        lost = link.loss and self.random_stream(a, b, "loss").random() < link.loss
        if lost or not self.open(a, b):
            return []
        wait = self._transmission_delay(now, a, b, size, link)
        if wait > MAX_QUEUE_DELAY:
            return []
        copies = 1
        if link.repeat and self.random_stream(a, b, "repeat").random() < link.repeat:
            copies = 2
        return [self._delay(a, b, link) + wait for _ in range(copies)]

    def stream_delay(self, now: float, a: str, b: str, size: int) -> float:
        """Return the delay in seconds of a segment of a stream, including retransmissions. The caller keeps
        the order and sends nothing over a cut."""
        link = self.link_between(a, b)
        wait, again = self._transmission_delay(now, a, b, size, link), 0
        while again < 8 and link.loss and self.random_stream(a, b, "stream loss").random() < link.loss:
            again += 1
        return wait + again * max(0.2, 2 * link.delay_ms / 1000) + self._delay(a, b, link)

    def _delay(self, a: str, b: str, link: Link) -> float:
        delay = link.delay_ms / 1000
        if link.jitter_ms:
            delay += self.random_stream(a, b, "jitter").random() * link.jitter_ms / 1000
        if link.reorder and self.random_stream(a, b, "reorder").random() < link.reorder:
            delay += self.random_stream(a, b, "late").random() * MAX_REORDER_DELAY
        return delay

    def _transmission_delay(self, now: float, a: str, b: str, size: int, link: Link) -> float:
        """Seconds for which a message is queued for a slow link and transmitted."""
        if not link.rate:
            return 0.0
        done = max(now, self._link_free_at.get((a, b), 0.0)) + size / link.rate
        if done - now <= MAX_QUEUE_DELAY:
            self._link_free_at[a, b] = done
        return done - now


DEFAULT_LINK = Link(delay_ms=1, jitter_ms=20, reorder=0.01, repeat=0.01, loss=0.01)
KINDS = (
    "crash",
    "restart",
    "pause",
    "partition",
    "cut",
    "link",
    "leave",
    "disk",
    "force_state",
    "fail_after",
)


def schedule(
    seed: int, names: Sequence[str], seconds: float, kinds: Sequence[str] = KINDS, gap: float = 2.0
) -> list[tuple]:
    """Return random faults for Cluster.play, `gap` seconds apart on average; all end at 0.7 of the time."""
    rng, at, end, script = random.Random(f"{seed}/schedule"), 0.0, 0.7 * seconds, []
    while (at := at + rng.expovariate(1 / gap)) < end:
        kind, name, other = rng.choice(kinds), rng.choice(names), rng.choice(names)
        long = min(rng.choice((0.3, 2.0, 8.0, 20.0)) * rng.uniform(0.5, 1.5), end - at)
        if kind in ("crash", "restart", "leave"):
            script.append((at, "leave" if kind == "leave" else "crash", name))
            disk = "kept" if kind != "crash" else rng.choice(("kept", "kept", "lost", "damaged"))
            script.append((at + long, "start", name, disk))
        elif kind == "pause":
            script.append((at, "pause", name, long))
        elif kind == "partition":
            mixed = rng.sample(names, len(names))
            one, two = sorted(rng.randrange(len(names) + 1) for _ in range(2))
            script += [(at, "net.partition", mixed[:one], mixed[one:two]), (at + long, "net.heal")]
        elif kind == "cut" and name != other:
            script += [(at, "net.cut", name, other), (at + long, "net.heal")]
        elif kind == "link":
            link = Link(
                rng.choice((0.1, 0.3)),
                repeat=rng.choice((0.0, 0.3)),
                reorder=rng.choice((0.0, 0.3)),
                delay_ms=rng.choice((5, 300)),
                jitter_ms=rng.choice((5, 500)),
            )
            script += [(at, "net.link", name, "*", link), (at + long, "net.link", name, "*", DEFAULT_LINK)]
        elif kind == "disk":
            script += [(at, "disk", name, "full"), (at + long, "disk", name, "ok")]
        elif kind == "force_state" and name != other:
            wrong = rng.choice((State.DEAD, State.SUSPECT, State.ALIVE))
            script.append((at, "force_state", name, other, wrong, long))
        elif kind == "fail_after":
            script += [
                (at, "fail_after", name, rng.randrange(4), rng.choice(("crash", "pause")), long),
                (at + long, "start", name),
            ]
    return [*script, (end, "end_faults")]
