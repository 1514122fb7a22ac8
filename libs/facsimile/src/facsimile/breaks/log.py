"""Breaks of the replicated log, its disks and the batch ledger on top of it."""

__all__ = ["BREAKS"]

_LOTS = "tests/test_lots.py -k "
_LOG = "tests/test_log_conformance.py -k "
_MEMBERS = "tests/test_members.py -k "
_EXPLORE = "tests/test_explore_log.py -k "

BREAKS: dict[str, tuple[str, str, str, str]] = {
    "one lot too many": (
        "ledger/src/ledger/desk.py",
        "ledger.room_used(message.path) >= room",
        "ledger.room_used(message.path) > room",
        _LOTS + "exact",
    ),
    "late hand-ins are taken": (
        "ledger/src/ledger/desk.py",
        "return message.epoch != self._holder.epoch or not 0 <= age_ms <= self.node.params.fresh_ms",
        "return False",
        _LOTS + "late",
    ),
    "receipts before anything is settled": (
        "accession/src/accession/holder.py",
        "if waiter.settled or self._now()",
        "if self._now()",
        _LOG + "cut_from_power",
    ),
    "acknowledged with one copy": (
        "accession/src/accession/holder.py",
        "return waiter.seq <= held_seq",
        "return True",
        _LOG + "f_peers",
    ),
    "one disk is enough": (
        "accession/src/accession/holder.py",
        "settled_seq = copies[f] if len(copies) > f else 0",
        "settled_seq = copies[0]",
        _LOG + "one_disk",
    ),
    "a stale holder goes on": (
        "accession/src/accession/peer.py",
        'if message.epoch < log.meta.fence:\n            reply(self._receipt(message.probe, False, "fenced"))',
        'if False:\n            reply(self._receipt(message.probe, False, "fenced"))',
        _LOG + "stale_holder",
    ),
    "answers of an old log count": (
        "accession/src/accession/recovery.py",
        "top = max(answer.log_epoch for answer in self._answers.values())\n",
        "top = 0\n        for answer in self._answers.values():\n            answer.log_epoch = 0\n",
        "tests/test_recovery.py -k old_tail",
    ),
    "an unsafe report is acknowledged unsettled": (
        "ledger/src/ledger/dealing.py",
        "self._holder.append(rows, not lot.safe, logged, True)",
        "self._holder.append(rows, False, logged, True)",
        _LOTS + "unsafe_report",
    ),
    "a damaged leaf is listed": (
        "stacks/src/stacks/frames.py",
        "return payload if zlib.crc32(payload) == checksum else None",
        "return payload",
        "tests/test_shelves.py -k mends_it",
    ),
    "records behind a hole are lost": (
        "accession/src/accession/local.py",
        "while (at := over_hole(data, stop)) is not None:",
        "while (at := None) is not None:",
        _LOG + "trimmed",
    ),
    "a fence for each message": (
        "accession/src/accession/meta.py",
        """        if self._writing is not None and _covers(self._writing, wanted):
            self._waiters.append(done)
            return
        self._next.append((wanted, done))
        if self._writing is None:
""",
        "        self._next.append((wanted, done))\n        if True:\n",
        _LOG + "many_messages",
    ),
    "a leaf in another's place": (
        "accession/src/accession/shelves.py",
        "return leaf.rows if leaf.name == name else None",
        "return leaf.rows",
        "tests/test_shelves.py -k anothers_place",
    ),
    "a snapshot before its files": (
        "accession/src/accession/local.py",
        "        if not lacking:\n",
        "        if True:\n",
        "tests/test_shelves.py -k spare",
    ),
    "a lost baton stays lost": (
        "ledger/src/ledger/dealing.py",
        "if lot.ready > lot.placed and not self._live(lot.baton_edge):",
        "if False:",
        _LOTS + "all_finished",
    ),
    "placed under an old baton": (
        "ledger/src/ledger/fold.py",
        "lot is not None and entry.epoch == lot.baton_epoch and",
        "lot is not None and",
        "tests/test_ledger.py -k baton",
    ),
    "whoever is cut off takes the duty": (
        "accession/src/accession/watch.py",
        "if 1 + len(answers) < len(names) - f or any(",
        "if any(",
        "tests/test_holders.py -k cut_off_from_the_other",
    ),
    "a holder that hears nobody is believed": (
        "accession/src/accession/store.py",
        "sure=self._at_work()))",
        "sure=True))",
        "tests/test_holders.py -k hears_nobody",
    ),
    "a tail that is no longer shared is kept": (
        "accession/src/accession/recovery.py",
        "if record.seq <= shared])",
        "if True])",
        "tests/test_recovery.py -k old_tail",
    ),
    "an old mark counts after a cut": (
        "accession/src/accession/local.py",
        "return seq if fence == self.meta.fence == self.meta.log_epoch else 0",
        "return seq",
        "tests/test_recovery.py -k mark",
    ),
    "a snapshot takes in what came after it": (
        "accession/src/accession/local.py",
        "                self._maker.before(entry)\n",
        "                pass\n",
        "tests/test_recovery.py -k steps",
    ),
    "only the first in order holds": (
        "accession/src/accession/watch.py",
        "return now_ms - self._ripe_ms >= willing.index(self._own) * params.pulse_ms",
        "return self._own == names[0]",
        _MEMBERS + "swapped",
    ),
    "a fence is told before it is on disk": (
        "accession/src/accession/meta.py",
        "self._disk.flush([_NAME], kept)",
        "kept(True)",
        _EXPLORE + "nothing_breaks",
    ),
}
