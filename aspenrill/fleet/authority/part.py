"""The part named "authority": election, log and followers put together, as `interface.Authority`.

Its facts are for the driver: each `Agreed` is handed to the parts of the same process whose `kinds` have it.
`propose` and `fresh` may be called from other parts' calls: what they cause to be sent or stored goes out
with this part's next own call, within `period` seconds.

Every call ends in `_work`. What is learned to be agreed is told first, then stored, then answered: telling
needs no disk, since it is on those of a majority, and a disk that fails must not keep a process from hearing
of it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping

import msgspec

from ...errors import DiskTrouble, StateTrouble
from ..interface import Effect, Entry, Inform, Member, Note, Post, Put, Store, View
from .election import Election
from .follow import Follow
from .rules import MOST_KEY, MOST_KIND, MOST_RECORD, MOST_WAITING, WINDOW, Rules
from .table import Change, Table
from .voter import Voter
from .wire import (
    Accept,
    Acked,
    Admit,
    Admitted,
    Ask,
    Board,
    Chunk,
    Fetch,
    Message,
    Nothing,
    Read,
    Record,
    Release,
    Tail,
    Vote,
    decode,
    decode_as,
    encode,
    fitting,
    post,
)

NAME = "authority"
SEEN = "seen"  # key on disk: the highest epoch that was seen
SENDS = 4  # messages with records to one voter in one call


class AuthorityPart:
    """See `interface.Authority` for what other parts ask of it. Every process has one; voters are named in
    the rules. `rng` gives the delays."""

    name = NAME
    topics = (NAME,)
    period = 0.1

    def __init__(self, rules: Rules, rng: random.Random) -> None:
        self.rules, self.rng = rules, rng
        self.waiting: deque[tuple[str, str, bytes]] = deque()
        self.voter: Voter | None = None
        self.election: Election | None = None
        self.broken = False
        self.stored_epoch = 0
        self.board: Board | None = None
        self.board_at = 0.0
        self.sent: dict[str, int] = {}  # by voter: the last number sent to it
        self.send_at = 0.0
        self.announced = 0
        self.strangers: set[str] = set()

    # ---- what others ask ------------------------------------------------------------------------------

    def coordinating(self, now: float) -> int | None:
        """The epoch, where the lease of the majority runs at this very moment and its log was read."""
        tenure = self.election.tenure if self.election is not None else None
        if tenure is None or self.broken or tenure.won_at is None or not tenure.holds(now):
            return None
        return tenure.epoch

    def settled(self, now: float) -> bool:
        """Coordinating, what was read is agreed, and each lease granted under a former epoch is over."""
        if self.coordinating(now) is None:
            return False
        tenure = self.election.tenure
        over = tenure.first or now >= tenure.won_at + self.rules.hold(self.rules.longest)
        return over and self.table.last >= tenure.recovered

    def epoch(self) -> int:
        return self.follow.seen

    def fresh(self, epoch: int) -> bool:
        """Whether an order of this epoch is to be followed; from then on those of lower ones are not."""
        if epoch < self.follow.seen:
            return False
        self.follow.seen = epoch
        return True

    def propose(self, now: float, kind: str, key: str, body: bytes) -> list[Effect]:
        """Nothing where it does not coordinate. A line for the log where the record cannot be taken."""
        if self.coordinating(now) is None:
            return []
        if len(kind.encode()) > MOST_KIND or len(key.encode()) > MOST_KEY or len(body) > MOST_RECORD:
            return [Note(f"authority: a record of kind {kind[:MOST_KIND]!r} is too large; it is left out")]
        if len(self.waiting) >= MOST_WAITING or (self.table.full and (kind, key) not in self.table.latest):
            return [Note(f"authority: too many records; one of kind {kind!r} is left out")]
        self.waiting.append((kind, key, body))
        return []

    # ---- calls of the driver --------------------------------------------------------------------------

    def on_start(self, now: float, view: View, stored: Mapping[str, bytes]) -> list[Effect]:
        """Raises StateTrouble if what was stored is not of its form: it is refused whole."""
        self.view, self.table = view, Table()
        self.follow = Follow(self.rules, self.table, view, self.rng, now)
        effects: list[Effect] = []
        try:
            self.stored_epoch = decode_as(int, stored[SEEN]) if SEEN in stored else 0
            if view.name in self.rules.voters:
                self.voter = Voter(self.rules, self.table, now)
                effects = self.voter.load(now, stored)
        except (msgspec.DecodeError, ValueError) as error:
            raise StateTrouble(f"records of {NAME} of {view.name}: {error}") from None
        self.follow.seen = self.stored_epoch
        if self.voter is not None:
            self.election = Election(self.rules, view.name, view.incarnation, self.voter, self.rng, now)
            self._see(self.voter.promise.epoch if self.voter.promise is not None else 0)
        told = sorted(self.table.latest.values(), key=lambda record: record.number)
        return [Inform(record.told()) for record in told] + effects + self._work(now)

    def on_member(self, now: float, member: Member) -> list[Effect]:
        self.follow.regroup()
        return []

    def on_entry(self, now: float, entry: Entry) -> list[Effect]:
        if not entry.value or entry.origin not in self.rules.voters:
            return []
        try:
            board = decode_as(Board, entry.value)
        except msgspec.DecodeError:
            return []
        self._see(board.epoch)
        self.follow.hear(now, board.number)
        return self._work(now)

    def on_message(self, now: float, sender: str, incarnation: int, body: bytes) -> list[Effect]:
        message = decode(body)
        if message is None:
            return []
        self._own()
        return self._handle(now, sender, incarnation, message) + self._work(now)

    def on_tick(self, now: float) -> list[Effect]:
        self._own()
        effects = self.follow.due(now)
        if self.election is not None and not self.broken:
            effects += self.election.tick(now)
        return effects + self._work(now)

    def on_disk(self, now: float, key: str) -> list[Effect]:
        """It votes and coordinates no more in this life; it still follows."""
        if self.broken:
            return []
        self.broken = True
        trouble = DiskTrouble(f"{NAME}: {key} could not be written")
        return [Note(trouble.line())] + self._step_back(now)

    def on_leave(self, now: float) -> list[Effect]:
        effects = self._step_back(now)
        effects += [effect for effect in effects if isinstance(effect, Post)] * 2  # nobody repeats it later
        if self.election is not None:
            self.election.leaving = True
        return effects

    def _step_back(self, now: float) -> list[Effect]:
        if self.election is None:
            return []
        return self.election.end(now, "") + self._unboard()

    # ---- messages -------------------------------------------------------------------------------------

    def _handle(self, now: float, sender: str, incarnation: int, message: Message) -> list[Effect]:
        if isinstance(message, Fetch):
            return self.follow.answer(now, sender, message)
        if isinstance(message, Chunk):
            self._see(message.epoch)
            before = self.table.last
            change = self.follow.chunk(now, sender, message)
            return self._changed(now, before, change) if change is not None else []
        if self.voter is None or self.broken or sender == self.view.name:
            return []
        if sender not in self.rules.voters:
            return self._stranger(sender)
        return self._among_voters(now, sender, incarnation, message)

    def _among_voters(self, now: float, sender: str, incarnation: int, message: Message) -> list[Effect]:
        election = self.election
        match message:
            case Ask():
                effects = election.on_ask(now, sender, incarnation, message)
                if self.voter.promise is not None:
                    self._see(self.voter.promise.epoch)
                self.follow.hear(now, message.number)
                return effects
            case Vote():
                return election.on_vote(now, sender, incarnation, message)
            case Release():
                return election.on_release(now, sender, incarnation, message)
            case Read():
                return election.on_read(now, sender, incarnation, message)
            case Tail():
                self.follow.hear(now, message.number)
                return election.on_tail(now, sender, incarnation, message)
            case Accept():
                return self._on_accept(now, sender, incarnation, message)
            case Acked():
                tenure = election.tenure
                if (
                    tenure is not None
                    and (message.epoch, message.life) == (tenure.epoch, tenure.life)
                    and tenure.counts(sender, incarnation)
                ):
                    tenure.acknowledged(sender, message.upto)
            case Admit():
                return election.on_admit(now, sender, incarnation, message)
            case Nothing():
                return election.on_nothing(now, sender, message)
            case Admitted():
                self.follow.hear(now, message.number)
                return election.on_admitted(now, sender, incarnation, message)
        return []

    def _stranger(self, sender: str) -> list[Effect]:
        if sender in self.strangers or len(self.strangers) >= MOST_WAITING:
            return []
        self.strangers.add(sender)
        return [Note(f"authority: {sender} takes itself for a voter; compare the voters configured there")]

    def _on_accept(self, now: float, sender: str, life: int, accept: Accept) -> list[Effect]:
        if accept.life != life:
            return []
        followed, effects = self.voter.accept(sender, life, accept)
        self.follow.hear(now, accept.number)
        if not followed:
            return []
        before = self.table.last
        records = self.voter.agreed(accept.number, accept.epoch)
        if records:
            effects += self._changed(now, before, self.table.apply(records, records[-1].number))
        effects += self.voter.join(now)
        if self.voter.promise is None:
            return effects
        return effects + [post(sender, Acked(accept.epoch, life, self.voter.upto(accept.epoch)))]

    def _changed(self, now: float, before: int, change: Change) -> list[Effect]:
        """After the table went on: told, kept, passed on."""
        effects: list[Effect] = [Inform(record.told()) for record in change.news]
        if self.voter is not None and not self.broken:
            effects += self.voter.keep(change) + self.voter.join(now)
        return effects + self.follow.pass_on(before)

    # ---- at the end of each call ----------------------------------------------------------------------

    def _own(self) -> None:
        """The records of the call before this one are on its own disk, or it would be broken."""
        tenure = self.election.tenure if self.election is not None else None
        if tenure is not None and tenure.won_at is not None and not self.broken:
            tenure.acknowledged(self.view.name, self.voter.upto(tenure.epoch))

    def _see(self, epoch: int) -> None:
        self.follow.seen = max(self.follow.seen, epoch)

    def _work(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self.follow.seen > self.stored_epoch and not self.broken:
            self.stored_epoch = self.follow.seen
            effects.append(Store(SEEN, encode(self.stored_epoch)))
        tenure = self.election.tenure if self.election is not None and not self.broken else None
        if tenure is None:
            self.waiting.clear()
            return effects + self._unboard()
        self.election.seen = max(self.election.seen, self.follow.seen)
        if tenure.won_at is None:
            if not tenure.sounding and tenure.complete(now, self.table.last):
                effects += self._win(now)
            return effects
        return effects + self._lead(now)

    def _win(self, now: float) -> list[Effect]:
        tenure = self.election.tenure
        records = tenure.win(now, self.table.last)
        self.election.failures = 0
        self._see(tenure.epoch)
        self.waiting.clear()
        self.sent = {other: self.table.last for other in self.election.others}
        self.send_at, self.announced = now, 0
        self.election.again_at = now + self.rules.renew
        note = Note(f"authority: coordinates in epoch {tenure.epoch}, records up to {tenure.recovered} read")
        return [note] + self._accept_own(records)

    def _accept_own(self, records: list[Record]) -> list[Effect]:
        tenure = self.election.tenure
        accept = Accept(tenure.epoch, tenure.life, self.table.last, records)
        return self.voter.accept(self.view.name, tenure.life, accept)[1]

    def _lead(self, now: float) -> list[Effect]:
        tenure, before = self.election.tenure, self.table.last
        effects: list[Effect] = []
        if records := self.voter.agreed(tenure.agreed(), tenure.epoch):
            effects += self._changed(now, before, self.table.apply(records, records[-1].number))
        if tenure.holds(now):
            effects += self._number()
        return effects + self._send(now) + self._tell(now)

    def _number(self) -> list[Effect]:
        """What waits gets its number, as far as the window goes."""
        tenure, records, number = self.election.tenure, [], self.voter.end
        while self.waiting and number < self.table.last + WINDOW:
            number += 1
            records.append(Record(number, tenure.epoch, *self.waiting.popleft()))
        return self._accept_own(records) if records else []

    def _send(self, now: float) -> list[Effect]:
        """New records to each voter once, and again after `retry` what it has not acknowledged."""
        again = now >= self.send_at
        if again:
            self.send_at = now + self.rules.retry
        effects: list[Effect] = []
        for other in self.election.others:
            acked = self.election.tenure.acked.get(other, 0)
            if again and acked < self.voter.end:
                self.sent[other] = min(self.sent[other], acked)
            effects += self._send_to(other, again and acked < self.table.last)
        self.announced = self.table.last
        return effects

    def _send_to(self, other: str, ask: bool) -> list[Effect]:
        tenure, effects = self.election.tenure, []
        after = max(self.sent[other], self.table.last)
        entries = [self.voter.tail[n].record for n in range(after + 1, self.voter.end + 1)]
        while entries and len(effects) < SENDS:
            count = fitting(entries)
            effects.append(post(other, Accept(tenure.epoch, tenure.life, self.table.last, entries[:count])))
            self.sent[other] = entries[count - 1].number
            entries = entries[count:]
        if not effects and (ask or self.announced < self.table.last):
            effects.append(post(other, Accept(tenure.epoch, tenure.life, self.table.last, [])))
        return effects

    def _tell(self, now: float) -> list[Effect]:
        """The board entry for all, at most each `retry` seconds."""
        board = Board(self.election.tenure.epoch, self.table.last)
        if board == self.board or now < self.board_at:
            return []
        self.board, self.board_at = board, now + self.rules.retry
        return [Put(NAME, encode(board))]

    def _unboard(self) -> list[Effect]:
        if self.board is None:
            return []
        self.board = None
        return [Put(NAME, b"")]
