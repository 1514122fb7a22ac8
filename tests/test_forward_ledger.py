"""Lots of forwarded calls at the holder: the fold's states, admission by tokens, dealing, and how items end."""

import random
from types import SimpleNamespace

from ledger import Ledger
from ledger import entries as e
from ledger import messages as m
from ledger.desk import Desk
from testtools import TestCase
from testtools.matchers import Equals
from vellum import Origin, decode, encode

PARAMS = SimpleNamespace(
    beat_ms=200,
    dead_ms=1000,
    reclaim_ms=3300,
    ask_ms=500,
    fresh_ms=1000,
    resume_ms=12000,
    keep_ms=60_000,
)


class AloneHolder:
    """A holder of the log whose appends settle when the test says so."""

    def __init__(self):
        self.epoch, self.deposed = 1, False
        self.ledger, self.settled = Ledger(), Ledger()
        self.full = self.by_hand = False
        self.unsettled = []

    def append(self, rows, settled, done, urgent=False):
        if self.full and not urgent:
            done("full")
            return False
        for row in rows:
            self.ledger.apply(decode(encode(row)))
        self.unsettled.append((rows, done))
        if not self.by_hand:
            self.settle()
        return True

    def settle(self):
        rows, self.unsettled = self.unsettled, []
        for entries, done in rows:
            for row in entries:
                self.settled.apply(decode(encode(row)))
            done("kept")

    def read(self, done):
        done(True)


class Tree:
    """Two routes; one of them has room for a hundred tokens."""

    def __init__(self, *names):
        self.names = names or ("route/a", "route/b")

    def usable(self, name):
        return (
            SimpleNamespace(attempts=3, waiting_tokens=100 if name == "route/a" else 0)
            if name in self.names
            else None
        )

    def room(self, name):
        return None


class Bench:
    """A desk with a clock, asked directly."""

    def __init__(self):
        self.now_ms = 50_000
        self.profiles = (7, Tree())
        self.replies, self.logged = {}, []
        env = SimpleNamespace(
            now=lambda: self.now_ms,
            wall=lambda: 1_000_000,
            log=lambda event, level="INFO", **fields: self.logged.append(event),
        )
        node = SimpleNamespace(
            env=env,
            params=PARAMS,
            reply=lambda origin, message: self.replies.setdefault(origin.ref, []).append(message),
        )
        self.holder = AloneHolder()
        self.desk = Desk(
            lambda: self.profiles, lambda: (9, "10.0.0.9:1"), lambda: self.holder.settled
        )
        self.desk.attach(node)
        self.desk.take_holder(self.holder)
        self._ref = 0

    def ask(self, message):
        self._ref += 1
        self.desk.receive(message, Origin("edge", self._ref))
        return self._ref

    def told(self, ref):
        return self.replies.get(ref, [None])[-1]

    def after(self, wait_ms):
        self.now_ms += wait_ms
        self.desk.tick()

    def hand_in(
        self,
        lot_id,
        tokens=(10,),
        path="route/a",
        digest="d",
        age_ms=0,
        epoch=1,
        keep_ms=30_000,
        version=7,
        attempts=3,
    ):
        ids = [f"{lot_id}-{place}" for place in range(len(tokens))]
        return self.told(
            self.ask(
                m.ForwardHandIn(
                    lot_id=lot_id,
                    digest=digest,
                    path=path,
                    item_ids=ids,
                    tokens=list(tokens),
                    calls=[b"call" + name.encode() for name in ids],
                    attempts=attempts,
                    due_ms=10_000,
                    keep_ms=keep_ms,
                    version=version,
                    epoch=epoch,
                    holder_ms=self.now_ms - age_ms,
                )
            )
        )

    def beat(self, edge="e1", room=9, running=(), paths=("route/a", "route/b"), address=""):
        return self.ask(
            m.EdgeBeat(
                edge=edge,
                address=address or edge,
                room=room,
                paths=list(paths),
                running=list(running),
            )
        )

    def work(self, ref):
        return [decode(row) for row in self.told(ref).work]

    def end(self, work, outcome="finished", text=b"t", worker="w1", edge="e1"):
        rows = work if isinstance(work, list) else [work]
        return self.ask(
            m.EndItems(
                edge=edge,
                rows=[
                    encode(
                        m.ItemEnd(
                            lot_id=row.lot_id,
                            index=row.index,
                            number=row.number,
                            outcome=outcome,
                            text=text,
                            worker=worker,
                        )
                    )
                    for row in rows
                ],
            )
        )

    def page(self, lot_id, position=0, wait_ms=0):
        return self.ask(
            m.ReadPage(lot_id=lot_id, from_position=position, limit_bytes=1000, wait_ms=wait_ms)
        )

    def listed(self, lot_id):
        return [
            (row.item_id, row.outcome) for row in map(decode, self.told(self.page(lot_id)).rows)
        ]


def drawn(seed):
    """Entries in any order, some of which no longer apply."""
    rng = random.Random(seed)
    rows = [
        e.ForwardLotAdmitted(
            lot_id=f"l{lot}",
            digest="d",
            path=f"p{lot % 2}",
            item_ids=["a", "b", "c"],
            tokens=[1, 20, 300],
            calls=[b"x", b"y", b"z"],
            attempts=3,
            due_ms=1,
            expires_ms=9,
            version=2,
            at_ms=lot,
        )
        for lot in range(4)
    ]
    for _ in range(150):
        lot, index, number, edge = (
            f"l{rng.randrange(5)}",
            rng.randrange(4),
            rng.randrange(1, 6),
            rng.choice("ef"),
        )
        rows.append(
            rng.choice(
                [
                    e.ItemsClaimed(
                        lot_id=lot,
                        edge=edge,
                        indexes=[index, (index + 1) % 3],
                        numbers=[number, number],
                    ),
                    e.ItemsClaimed(lot_id=lot, edge=edge, indexes=[index], numbers=[number]),
                    e.ItemReturned(lot_id=lot, index=index, number=number),
                    e.AttemptFailed(
                        lot_id=lot, index=index, number=number, failures=0, worker=f"w{number}"
                    ),
                    e.ResultListed(
                        lot_id=lot,
                        index=index,
                        outcome="finished",
                        text=b"r%d" % rng.randrange(99),
                        worker="w",
                        edge=edge,
                        epoch=number,
                    ),
                ]
            )
        )
    rows.insert(rng.randrange(60, 150), e.LotEnded(lot_id="l1", at_ms=9))
    return rows


def applied(ledger, rows):
    """As the holder does, which counts an attempt that failed on top of those before it."""
    for row in rows:
        if isinstance(row, e.AttemptFailed):
            lot = ledger.lots.get(row.lot_id)
            before = (
                lot.items[row.index].failures
                if lot is not None and row.index < len(lot.items)
                else 0
            )
            row = e.AttemptFailed(**{**row.as_dict(), "failures": before + 1})
        ledger.apply(row)


def shown(ledger):
    lots = {
        name: (
            lot.order,
            lot.placed,
            lot.ended,
            lot.left,
            lot.baton_epoch,
            lot.baton_edge,
            lot.open,
            lot.tokens,
            list(lot.pending),
            sorted(lot.claims),
            lot.expires_ms,
            lot.version,
            lot.attempts,
            [
                (item.state, item.outcome, item.result)
                if item.state == "finished"
                else (item.state, item.edge, item.number, item.failures, item.failed_at, item.body)
                for item in lot.items
            ],
        )
        for name, lot in ledger.lots.items()
    }
    return lots, sorted(ledger.opened), ledger.waiting_tokens


class Fold(TestCase):
    def test_dump_encoded_and_copy_say_the_same(self):
        for seed in range(30):
            ledger = Ledger()
            applied(ledger, drawn(seed))
            dumped, encoded = Ledger(), Ledger()
            for row in ledger.dump():
                dumped.apply(row)
            for row in ledger.encoded():
                encoded.apply(decode(row))
            for other in (dumped, encoded, ledger.copy()):
                self.assertThat(shown(other), Equals(shown(ledger)), f"seed {seed}")
            self.assertThat(
                sum(ledger.waiting_tokens.values()),
                Equals(sum(lot.tokens for lot in ledger.opened.values())),
            )

    def test_results_are_listed_as_they_settle_under_a_rising_epoch(self):
        ledger = Ledger()
        ledger.apply(drawn(1)[0])
        steps = [
            (2, "e", 1, [2]),
            (2, "e", 1, [2]),
            (0, "f", 1, [2]),
            (0, "f", 2, [2, 0]),
            (1, "e", 1, [2, 0]),
            (1, "f", 2, [2, 0, 1]),
            (0, "e", 9, [2, 0, 1]),
        ]
        for index, edge, epoch, order in steps:
            ledger.apply(
                e.ResultListed(
                    lot_id="l0",
                    index=index,
                    outcome="finished",
                    text=b"%d" % index,
                    worker="",
                    edge=edge,
                    epoch=epoch,
                )
            )
            self.assertThat(ledger.lots["l0"].order, Equals(order))
        self.assertThat(ledger.lots["l0"].open, Equals(False))
        self.assertThat(ledger.waiting_tokens, Equals({}))


class Admission(TestCase):
    def test_the_waiting_room_is_exact_in_tokens(self):
        bench = Bench()
        rows = [
            ("one", (30, 30), "admitted"),
            ("two", (41,), "no_room"),
            ("three", (40,), "admitted"),
            ("four", (1,), "no_room"),
            ("one", (30, 30), "known"),
        ]
        for lot_id, tokens, outcome in rows:
            self.assertThat(bench.hand_in(lot_id, tokens).outcome, Equals(outcome), lot_id)
        self.assertThat(bench.hand_in("free", (9999,), "route/b").outcome, Equals("admitted"))
        work = bench.work(bench.beat(paths=["route/a"]))
        bench.end(work[0])
        bench.now_ms += 1
        self.assertThat(bench.hand_in("five", (31,)).outcome, Equals("no_room"))
        self.assertThat(bench.hand_in("six", (30,)).outcome, Equals("admitted"))
        bench.ask(m.EndLot(lot_id="three"))
        bench.now_ms += 1
        self.assertThat(bench.hand_in("seven", (40,)).outcome, Equals("admitted"))

    def test_what_was_refused_runs_only_under_a_later_stamp(self):
        bench = Bench()
        bench.hand_in("one", (100,))
        self.assertThat(bench.hand_in("two", (1,)).outcome, Equals("no_room"))
        bench.ask(m.EndLot(lot_id="one"))
        for row in ({"age_ms": 0}, {"age_ms": 50}, {"epoch": 2}, {"age_ms": 1001}, {"age_ms": -1}):
            told = bench.hand_in("two", (1,), **row)
            self.assertThat(told, Equals(m.Stale(epoch=1, holder_ms=bench.now_ms)), row)
        bench.now_ms += 1
        self.assertThat(bench.hand_in("two", (1,)).outcome, Equals("admitted"))

    def test_older_profiles_than_the_edges_refuse_nothing(self):
        bench = Bench()
        rows = [
            ("route/c", 8, "unknown"),
            ("route/c", 7, "no_path"),
            ("route/b", 8, "unknown"),
            ("route/b", 7, "admitted"),
        ]
        for number, (path, version, outcome) in enumerate(rows):
            self.assertThat(
                bench.hand_in(f"lot{number}", path=path, version=version).outcome,
                Equals(outcome),
                (path, version),
            )

    def test_answered_once_settled_and_known_ever_after(self):
        bench = Bench()
        bench.holder.by_hand = True
        self.assertThat(bench.hand_in("one"), Equals(None))
        self.assertThat(bench.hand_in("one"), Equals(None))
        bench.holder.settle()
        self.assertThat(
            [rows[0].outcome for rows in bench.replies.values()], Equals(["admitted", "known"])
        )
        bench.holder.by_hand = False
        self.assertThat(bench.hand_in("one", digest="other").outcome, Equals("conflict"))
        bench.holder.full = True
        self.assertThat(bench.hand_in("two").outcome, Equals("full"))


class Dealing(TestCase):
    def test_a_beat_with_room_is_held_until_there_is_work(self):
        bench = Bench()
        held, other, none = bench.beat("e1"), bench.beat("e2"), bench.beat("e3", room=0)
        self.assertThat(
            (bench.told(held), bench.told(other), bench.told(none) is not None),
            Equals((None, None, True)),
        )
        bench.hand_in("one", (1,) * 6)
        self.assertThat((len(bench.work(held)), len(bench.work(other))), Equals((2, 2)))
        again = bench.beat("e1", running=["one#0", "one#1"])
        self.assertThat(len(bench.work(again)), Equals(1))

    def test_a_held_beat_is_answered_after_a_beats_time_and_by_a_holder_that_steps_down(self):
        bench = Bench()
        held = bench.beat()
        bench.after(199)
        self.assertThat(bench.told(held), Equals(None))
        bench.after(1)
        self.assertThat(bench.told(held).work, Equals([]))
        held = bench.beat()
        bench.desk.take_holder(None)
        self.assertThat(bench.told(held), Equals(m.NotHolder(epoch=9, address="10.0.0.9:1")))

    def test_an_edge_known_to_be_dead_loses_its_items(self):
        bench = Bench()
        held = bench.beat("e1", address="10.0.0.1:1")
        bench.hand_in("one", (1, 1))
        self.assertThat(len(bench.work(held)), Equals(2))
        bench.beat("e9", room=0, address="10.0.0.1:1")
        bench.after(25)
        fresh = bench.work(bench.beat("e2"))
        self.assertThat([row.number for row in fresh], Equals([2]))
        bench.after(PARAMS.dead_ms + 1)
        self.assertThat([row.number for row in bench.work(bench.beat("e3"))], Equals([2, 3]))

    def test_an_end_is_told_to_whoever_runs_the_lot(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        bench.beat("e1")
        held = bench.beat("e1", running=["one#0", "one#1"])
        bench.ask(m.EndLot(lot_id="one"))
        self.assertThat(bench.told(held).stops, Equals(["one"]))


class Ends(TestCase):
    def test_how_items_end(self):
        rows = [
            ("finished", ["finished"]),
            ("dead", ["dead"]),
            ("failed failed finished", ["finished"]),
            ("failed failed failed", ["dead"]),
            ("again again again again finished", ["finished"]),
            ("failed again failed again", []),
        ]
        for outcomes, listed in rows:
            bench = Bench()
            bench.hand_in("one")
            for outcome in outcomes.split():
                bench.end(bench.work(bench.beat())[0], outcome)
            self.assertThat(
                [outcome for _, outcome in bench.listed("one")], Equals(listed), outcomes
            )

    def test_a_failure_told_twice_counts_once(self):
        bench = Bench()
        bench.hand_in("one")
        work = bench.work(bench.beat())[0]
        for _ in range(5):
            bench.end(work, "failed")
        again = bench.work(bench.beat())[0]
        self.assertThat((again.avoid, bench.listed("one")), Equals((["w1"], [])))

    def test_what_is_slow_holds_nothing_up(self):
        bench = Bench()
        bench.hand_in("one", (1, 1, 1))
        work = bench.work(bench.beat())
        bench.end([work[2], work[1]])
        self.assertThat(bench.listed("one"), Equals([("one-2", "finished"), ("one-1", "finished")]))
        bench.end(work[2], text=b"another run")
        bench.end(work[0], edge="e2")
        self.assertThat(
            bench.listed("one"),
            Equals([("one-2", "finished"), ("one-1", "finished"), ("one-0", "finished")]),
        )
        lot = bench.holder.ledger.lots["one"]
        self.assertThat((lot.baton_edge, lot.baton_epoch), Equals(("e2", 2)))

    def test_given_up_when_the_time_is_up_or_the_route_gone(self):
        bench = Bench()
        bench.hand_in("one", (1, 1), keep_ms=5000)
        bench.hand_in("two", path="route/b")
        bench.end(bench.work(bench.beat(room=1))[0])
        bench.after(4999)
        self.assertThat(len(bench.listed("one")), Equals(1))
        bench.after(1)
        self.assertThat(
            [outcome for _, outcome in bench.listed("one")], Equals(["finished", "dead"])
        )
        for number, tree, listed in (
            (6, Tree("route/a"), 0),
            (7, Tree(), 0),
            (8, Tree("route/a"), 1),
        ):
            bench.profiles = (number, tree)
            bench.after(25)
            self.assertThat(len(bench.listed("two")), Equals(listed), number)


class Reads(TestCase):
    def test_a_read_waits_for_what_is_settled(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        work = bench.work(bench.beat())
        bench.holder.by_hand = True
        held, unheld = bench.page("one", 0, 500), bench.page("one")
        bench.end(work[1])
        self.assertThat((bench.told(held), bench.told(unheld).rows), Equals((None, [])))
        bench.holder.settle()
        page = bench.told(held)
        self.assertThat(
            (page.total, page.over, [decode(row).item_id for row in page.rows]),
            Equals((2, False, ["one-1"])),
        )

    def test_a_read_is_answered_when_its_time_is_up_the_lot_over_or_the_holder_another(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        late, ended = bench.page("one", 0, 100), bench.page("one", 0, 500)
        bench.after(100)
        self.assertThat((bench.told(late).rows, bench.told(ended)), Equals(([], None)))
        bench.ask(m.EndLot(lot_id="one"))
        self.assertThat(
            (bench.told(ended).over, bench.told(bench.page("one", 5, 500)).over),
            Equals((True, True)),
        )
        bench.hand_in("two")
        held = bench.page("two", 0, 500)
        bench.desk.take_holder(None)
        self.assertThat(type(bench.told(held)), Equals(m.NotHolder))

    def test_missing_only_what_is_settled_nowhere_and_logged_nowhere(self):
        bench = Bench()
        self.assertThat(bench.told(bench.page("one")).outcome, Equals("missing"))
        bench.holder.by_hand = True
        bench.hand_in("one")
        self.assertThat(bench.told(bench.page("one")).outcome, Equals("unknown"))

    def test_a_page_is_bounded_but_has_one_result_at_least(self):
        bench = Bench()
        bench.hand_in("one", (1, 1, 1))
        for row, size in zip(bench.work(bench.beat()), (5000, 400, 400), strict=True):
            bench.end(row, text=b"x" * size)
        sizes = [len(bench.told(bench.page("one", position)).rows) for position in range(4)]
        self.assertThat(sizes, Equals([1, 2, 1, 0]))

    def test_bodies_of_what_is_not_listed(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        bench.end(bench.work(bench.beat())[0])
        asks = {
            name: bench.told(bench.ask(m.ReadItem(lot_id=lot, item_id=name)))
            for lot, name in (("one", "one-0"), ("one", "one-1"), ("one", "x"), ("two", "two-0"))
        }
        self.assertThat(
            {name: (told.outcome, told.call) for name, told in asks.items()},
            Equals(
                {
                    "one-0": ("missing", b""),
                    "one-1": ("known", b"callone-1"),
                    "x": ("missing", b""),
                    "two-0": ("missing", b""),
                }
            ),
        )
        bench.ask(m.EndLot(lot_id="one"))
        self.assertThat(
            bench.told(bench.ask(m.ReadItem(lot_id="one", item_id="one-1"))).outcome,
            Equals("missing"),
        )
