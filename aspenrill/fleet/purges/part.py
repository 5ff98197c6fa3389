"""The part of a process that purges: members, relays, coordinator and origin in one, each as far as it is
called on.

It applies purges to the process's store itself, within the call that hears of them: what it acknowledges is
done.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

from ..interface import Agreed, Authority, Effect, Entry, Member, Note, Post, Put, View
from ..kept.front import LoadNews
from ..kept.scopes import ALL, valid
from ..kept.store import NEVER, Store
from . import leases, wire
from .flows import Flows
from .origin import Origin, Purge
from .report import report
from .root import Root
from .tree import Tree
from .wire import BUILDING, MEMBER, ROOT, SITE, Ask, Grant, Heard, Spread, Told, Want

RETRY = 0.3  # seconds until a request for a lease is repeated
PUSH, SLOWEST_PUSH = 0.4, 2.0  # seconds until purges are repeated to who has not acknowledged them
MOST_RECENT = 200  # purges that are passed on one by one; who lacks more drops all that it keeps
SWEEP = 5.0


class Purges:
    """A Follower of records of kind `purge`. `keeps`: this process wants leases for answers of its own."""

    name = "purges"
    topics = ("purges",)
    kinds = ("purge",)
    period = 0.1

    def __init__(
        self, rng: random.Random, store: Store, authority: Authority, lease: float = 6.0, keeps: bool = True
    ) -> None:
        self.rng, self.store, self.authority, self.lease, self.keeps = rng, store, authority, lease, keeps
        self.seen = 0  # the serial up to which all agreed purges are applied here
        self.recent: deque[str] = deque(maxlen=MOST_RECENT)  # the scopes of the serials up to it
        self.posts = self.make_posts()
        self.root = Root()
        self.said = [0, 0, 0, 0]  # by level: the serial that was acknowledged upward
        self.put: int | None = None  # the epoch that others were told of
        self.next_sweep = self.next_retry = NEVER

    def make_posts(self) -> list[leases.Post]:
        """One for each level."""
        return [leases.Post(level) for level in range(4)]

    # ---- what the driver calls ------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        self.view, self.tree = view, Tree(view.members)
        self.flows = Flows(view, self.tree, self.store, self._send)
        self.origin = Origin(view.name, view.incarnation)
        self._open()
        effects, again = self.origin.start(now, stored)
        self.out += effects
        for scope in again:
            self._begin(now, scope if valid(scope) else ALL, "its end was not seen before the restart")
        return self._close(now)

    def on_member(self, now: float, member: Member) -> list[Effect]:
        self.tree.changed()
        if not member.there:
            self.origin.hurry(now)
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        self.origin.hurry(now)  # another coordinator: it is to hear all that is wanted
        self.posts[SITE].next_ask = NEVER
        return []

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        self._open()
        message = wire.decode(body)
        if message is not None:
            self._take(now, sender, incarnation, message)
        return self._close(now)

    def on_agreed(self, now: float, record: Agreed) -> list[Effect]:
        self._open()
        body = wire.record(record.body)
        if record.kind in self.kinds and body is not None and valid(record.key):
            self.advance(now, body.serial, [record.key])
            for origin, told in self.root.on_agreed(record.key, body.serial).items():
                self._tell(origin, told)
        return self._close(now)

    def on_tick(self, now: float) -> list[Effect]:
        self._open()
        self._publish(now)
        for post in self.posts:
            if post.behind:
                post.clear(now, self.seen)
                self._push(now, post, repeat=True)
            if post.level < ROOT and self._active(now, post) and now >= post.next_ask:
                self._ask(now, post)
        self._send_out(now)
        if now >= self.next_sweep:
            self.next_sweep = now + SWEEP
            for post in self.posts:
                post.sweep(now)
        if now >= self.next_retry:
            self.next_retry = now + SWEEP
            self.out += self.origin.retry()
        return self._close(now)

    def on_disk(self, now: float, key: str) -> list[Effect]:
        self.origin.on_disk()
        return [
            Note(
                f"fleet-disk: record {key} could not be written; the purge goes on, and the record is "
                "tried again; make room on the disk of [fleet] state"
            )
        ]

    def on_leave(self, now: float) -> list[Effect]:
        self._open()
        self.keeps, self.store.lease_end = False, NEVER
        for post in self.posts[:ROOT]:
            post.sweep(now)
            if not post.below:
                for name in post.above:
                    self._send(name, Ask(post.level + 1, 0, 0, 0, 0, 0, [], True))
                post.above, post.end = {}, NEVER
        return self._close(now)

    # ---- what begins here -----------------------------------------------------------------------------

    def purge(self, now: float, scope: str, why: str, tag: str = "") -> list[Effect]:
        """Purge a scope everywhere. With a tag, once however often it is asked for while it is not
        complete."""
        self._open()
        self._begin(now, scope, why, tag)
        self._send_out(now)
        return self._close(now)

    def load(self, now: float, news: LoadNews) -> list[Effect]:
        """A load has been sent, or has ended or may have."""
        self._open()
        for scope in news.scopes:
            if not news.ended:
                self.out += self.origin.load(scope, False)
            self._begin(now, scope, "a load has ended" if news.ended else "a load was sent")
            if news.ended:
                self.out += self.origin.load(scope, True)
        self._send_out(now)
        return self._close(now)

    def report(self, now: float) -> dict:
        """How purges and leases stand here: `report.report`."""
        return report(self, now)

    def _begin(self, now: float, scope: str, why: str, tag: str = "") -> Purge | None:
        purge, effects = self.origin.accept(now, scope, why, tag)
        self.out += effects
        if purge is not None:
            for item in self.flows.relay.new(self.view.name, [purge.item]):
                self.store.purge(item[2])
        return purge

    def _send_out(self, now: float) -> None:
        """What is out, to the sites and the coordinator that are to hear it now."""
        items = self.origin.items
        for site in self.origin.due(now, self.tree.sites()):
            relay = self.tree.relay(site, None, self.origin.sites[site].tries - 1)
            if relay is not None:
                self._send(relay, Spread(SITE, self.view.name, items))
        wanted, root = self.origin.wanted(now), self._coordinator(now)
        if wanted and root is not None:
            self._send(root, Want(wanted))

    # ---- messages -------------------------------------------------------------------------------------

    def _open(self) -> None:
        self.out: list[Effect] = []
        self.own: deque[wire.Message] = deque()  # from this process to itself, in another of its posts

    def _send(self, to: str, message: wire.Message) -> None:
        if to == self.view.name:
            self.own.append(message)
        else:
            self.out.append(Post(to, wire.encode(message)))

    def _close(self, now: float) -> list[Effect]:
        """Carry out what this process has told itself, and what follows from all that came."""
        self._settle(now)
        while self.own:
            self._take(now, self.view.name, self.view.incarnation, self.own.popleft())
            self._settle(now)
        return self.out

    def _take(self, now: float, sender: str, incarnation: int, message: wire.Message) -> None:
        match message:
            case Ask():
                self._on_ask(now, (sender, incarnation), message)
            case Grant():
                self._on_grant(now, sender, message)
            case Spread():
                self.flows.on_spread(sender, message)
            case Heard():
                if self.flows.on_heard(sender, message):
                    self.origin.heard(now, self.view.members()[sender].place.site, message)
            case Want():
                if self._office(now):
                    self._tell(sender, self.root.want(sender, message.purges))
            case Told():
                self.out += self.origin.told(now, message)

    # ---- serials and leases ---------------------------------------------------------------------------

    def advance(self, now: float, serial: int, scopes: list[str]) -> None:
        """Apply agreed purges up to a serial; `scopes` are those of the last ones. Where some are missing
        between, all that is kept goes: a log that lets the later of a scope stand for the earlier may never
        tell them."""
        missing = serial - self.seen
        if missing <= 0:
            return
        if missing <= len(scopes):
            scopes = scopes[-missing:]
            for scope in scopes:
                self.store.purge(scope)
        else:
            self.store.purge(ALL)
            self.recent.clear()
        self.recent.extend(scopes)
        self.seen = serial
        for post in self.posts[BUILDING:]:
            post.advanced()
            post.clear(now, self.seen)
            self._push(now, post)

    def _push(self, now: float, post: leases.Post, repeat: bool = False) -> None:
        """Tell those below what they may not have; again after a while."""
        for who in sorted(post.behind):
            holder = post.below[who]
            wait = min(SLOWEST_PUSH, PUSH * 1.5 ** min(holder.pushes, 8))
            if not repeat or holder.pushed + wait <= now:
                holder.pushes = holder.pushes + 1 if repeat else 0
                holder.pushed = now
                self._send(who[0], Grant(post.level - 1, 0, 0.0, self.seen, self._later(holder.acked)))

    def _later(self, serial: int) -> list[str]:
        """The scopes after a serial, the latest as many as fit."""
        found: list[str] = []
        room = wire.MOST_BYTES
        for scope in reversed(self.recent):
            room -= wire.size(scope)
            if room < 0 or len(found) >= self.seen - serial:
                break
            found.append(scope)
        return found[::-1]

    def _active(self, now: float, post: leases.Post) -> bool:
        return self.keeps if post.level == MEMBER else now < post.wanted + self.lease

    def _parent(self, now: float, post: leases.Post) -> str | None:
        place = self.view.place
        if post.level == SITE:
            return self._coordinator(now)
        return self.tree.relay(place.site, place.building if post.level == MEMBER else None, post.misses)

    def _ask(self, now: float, post: leases.Post) -> None:
        """A lease from the level above, with the acknowledgement of what is clear."""
        post.next_ask = now + RETRY * self.rng.uniform(0.8, 1.2)
        parent = self._parent(now, post)
        if parent is not None:
            seq = post.ask(now, parent)
            post.misses += 1
            self._send(parent, self._status(now, post, seq))

    def _status(self, now: float, post: leases.Post, seq: int) -> Ask:
        cleared = post.clear(now, self.seen)
        self.said[post.level] = max(cleared, self.said[post.level])
        holders, late, names = post.missing() if post.level else (1, 0, [])
        return Ask(post.level + 1, seq, self.seen, cleared, holders, late, names)

    def _on_ask(self, now: float, who: tuple[str, int], ask: Ask) -> None:
        if ask.level == MEMBER:
            return
        post = self.posts[ask.level]
        if ask.back:
            post.forget(who)
            return
        if ask.level == ROOT and not self._office(now):
            return
        if not self._active(now, post):
            post.next_ask = NEVER  # somebody calls on it: it needs a lease itself, now
        post.wanted = now
        if ask.seq:
            seconds = post.grant(now, who, self.seen, self.lease if ask.level == ROOT else None)
            if seconds:
                self._send(who[0], Grant(ask.level - 1, ask.seq, seconds, self.seen, self._later(ask.seen)))
            elif ask.level < ROOT and now >= post.next_ask:
                self._ask(now, post)
        post.acknowledged(who, self.seen, ask.cleared, ask.holders, ask.late, ask.names)

    def _on_grant(self, now: float, sender: str, grant: Grant) -> None:
        """What is newer first, then the lease: it may rest on it."""
        if grant.level == ROOT:
            return
        post = self.posts[grant.level]
        if not grant.seq:
            if grant.serial <= self.seen:
                self._send(sender, self._status(now, post, 0))  # the acknowledgement was lost
            self.advance(now, grant.serial, grant.recent)
            return
        if grant.seq in post.asked:
            self.advance(now, grant.serial, grant.recent)
        if post.granted(now, sender, grant.seq, grant.seconds):
            post.next_ask = now + self.lease / 6 * self.rng.uniform(0.8, 1.0)
            if post.level == MEMBER and self.keeps:
                self.store.lease_end = post.end

    # ---- the coordinator ------------------------------------------------------------------------------

    def _coordinator(self, now: float) -> str | None:
        """Who says that it coordinates, in the highest epoch."""
        if self.authority.coordinating(now) is not None:
            return self.view.name
        best = (-1, "")
        for entry in self.view.entries("purges"):
            if entry.value.isdigit() and len(entry.value) < 20 and entry.origin != self.view.name:
                best = max(best, (int(entry.value), entry.origin))
        return best[1] or None

    def _publish(self, now: float) -> None:
        epoch = self.authority.coordinating(now)
        if epoch != self.put:
            self.put = epoch
            self.out.append(Put("purges", str(epoch).encode() if epoch is not None else b""))
            self.origin.hurry(now)

    def _office(self, now: float) -> bool:
        """It coordinates at this moment, and knows all that its predecessors have agreed and granted."""
        settled = self.authority.settled(now)
        self.root.office(self.authority.coordinating(now) if settled else None, self.seen)
        return settled

    def _settle(self, now: float) -> None:
        """What follows: acknowledgements upward, proposals, and what is complete."""
        for post in self.posts[:ROOT]:
            if not post.behind:
                post.cleared = max(post.cleared, self.seen)
            if post.cleared > self.said[post.level]:
                for name, until in post.above.items():
                    if until > now:
                        self._send(name, self._status(now, post, 0))
                self.said[post.level] = post.cleared
        if not (self.root.waiting or self.root.flying or self.root.agreed) or not self._office(now):
            return
        for scope, serial in self.root.proposals(now):
            self.out += self.authority.propose(now, "purge", scope, wire.encode(wire.Record(serial)))
        top = self.posts[ROOT]
        cleared = top.clear(now, self.seen) if not top.behind else top.cleared
        for origin, told in self.root.cleared(cleared).items():
            self._tell(origin, told)

    def _tell(self, origin: str, told: Told) -> None:
        for at in range(0, len(told.items), wire.MOST_TOLD):
            self._send(origin, Told(told.items[at : at + wire.MOST_TOLD]))
