"""The breaks: a name, the file under libs, what stands there, what is put in its place, and the test
that has to fail. docs/proof.md says which rule of the brief each belongs to."""

__all__ = ["BREAKS"]

_CONTROL = "tests/test_control.py -k "
_LOTS = "tests/test_lots.py -k "
_LOG = "tests/test_log_conformance.py -k "
_FEED = "tests/test_feed.py -k "
_FAN = "tests/test_fan_out.py -k "
_FOUNDING = "tests/test_founding.py -k "
_MEMBERS = "tests/test_members.py -k "
_CIRC = "tests/test_circulation.py -k "
_EXCHANGES = "tests/test_exchanges.py"
_DAYS = "tests/test_platform_days.py -k "

BREAKS: dict[str, tuple[str, str, str, str]] = {
    "voters change without a sweep": (
        "catalogue/src/catalogue/founding.py", "self._sweep(lambda ok: self._change_list(following) if ok else self._idle())",
        "self._change_list(following)", _CONTROL + "swept"),
    "a lost change is taken": (
        "catalogue/src/catalogue/owner.py", "elif message.version != value.version:", "elif False:", _CONTROL + "two_changes"),
    "a resent change is taken again": (
        "catalogue/src/catalogue/owner.py", "elif message.change_id in value.change_ids:", "elif False:", _CONTROL + "resend"),
    "one vote is a majority": (
        "catalogue/src/catalogue/rounds.py", "len(voters) // 2 + 1", "1", _CONTROL + "minority"),
    "an older version is accepted": (
        "catalogue/src/catalogue/voter.py", " or (ballot == register.accepted and version < register.version)", "",
        _CONTROL + "late_accept"),
    "acknowledged before it is in force": (
        "catalogue/src/catalogue/owner.py", "if most and (now_ms >= due_ms or gazette.all_confirm(", "if most and (True or gazette.all_confirm(",
        _FEED + "not_acknowledged"),
    "a cut-off edge stays ready": (
        "readingroom/src/readingroom/nodes.py", "if not (self._hears_control(now_ms) or self._hears_most(now_ms)):", "if False:",
        _FEED + "cut_off"),
    "acknowledged with most edges cut off": (
        "gazette/src/gazette/feed.py", "return not self.binding or 2 * len(roll & have) > len(roll)", "return True", _FEED + "doubt_until"),
    "the roll changes without its majority": (
        "catalogue/src/catalogue/roll.py", "if not gazette.most_confirm(ROLL_KEY, gazette.number(ROLL_KEY), params.confirm_ms):", "if False:",
        _FEED + "doubt_until"),
    "the feed goes back": (
        "gazette/src/gazette/feed.py", "if item.number <= self.number(item.key):\n                continue", "if False:\n                continue",
        _FEED + "old_news"),
    "acknowledged while a voter's edges lack it": (
        "gazette/src/gazette/feed.py", "if any(lows.get(key, number) < number for", "if any(False for", _FAN + "not_waited_for"),
    "reports go to a voter that is cut off": (
        "gazette/src/gazette/contacts.py", "if address in self._chosen and len(self._rank) > len(self._chosen):", "if False:",
        _FAN + "leaves_voters"),
    "a voter that hears nobody keeps its duties": (
        "catalogue/src/catalogue/owner.py", "first_live(order, self._neighbours.hears) or ", "", _FOUNDING + "hears_nobody"),
    "a disk that lost its vote votes again": (
        "catalogue/src/catalogue/founding.py", "elif not self._may_found():", "elif False:", _FOUNDING + "wiped_before"),
    "a lost disk's vote under way is not waited for": (
        "catalogue/src/catalogue/succession.py", "if settled(card):", "if True:", _FOUNDING + "another_identity"),
    "one lot too many": (
        "ledger/src/ledger/desk.py", "ledger.room_used(message.path) >= room", "ledger.room_used(message.path) > room",
        _LOTS + "exact"),
    "late hand-ins are taken": (
        "ledger/src/ledger/desk.py", "return message.epoch != self._holder.epoch or not 0 <= age_ms <= self.node.params.fresh_ms",
        "return False", _LOTS + "late"),
    "receipts before anything is settled": (
        "accession/src/accession/holder.py", "if waiter.settled or self._now()", "if self._now()",
        _LOG + "cut_from_power"),
    "acknowledged with one copy": (
        "accession/src/accession/holder.py", "return waiter.seq <= held_seq", "return True", _LOG + "f_peers"),
    "one disk is enough": (
        "accession/src/accession/holder.py", "settled_seq = copies[f] if len(copies) > f else 0", "settled_seq = copies[0]",
        _LOG + "one_disk"),
    "a stale holder goes on": (
        "accession/src/accession/peer.py", 'if message.epoch < log.meta.fence:\n            reply(self._receipt(message.probe, False, "fenced"))',
        'if False:\n            reply(self._receipt(message.probe, False, "fenced"))', _LOG + "stale_holder"),
    "answers of an old log count": (
        "accession/src/accession/recovery.py", "top = max(answer.log_epoch for answer in self._answers.values())\n",
        "top = 0\n        for answer in self._answers.values():\n            answer.log_epoch = 0\n", "tests/test_recovery.py -k old_tail"),
    "an unsafe report is acknowledged unsettled": (
        "ledger/src/ledger/dealing.py", "self._holder.append(rows, not lot.safe, logged, True)",
        "self._holder.append(rows, False, logged, True)", _LOTS + "unsafe_report"),
    "a cut-off edge keeps its claims": (
        "circulation/src/circulation/lots.py", "if self.running() and now_ms - self._holder.heard_ms > params.claim_ms:", "if False:",
        _LOTS + "cut_off"),
    "a damaged leaf is listed": (
        "stacks/src/stacks/frames.py", "return payload if zlib.crc32(payload) == checksum else None", "return payload",
        "tests/test_shelves.py -k mends_it"),
    "records behind a hole are lost": (
        "accession/src/accession/local.py", "while (at := over_hole(data, stop)) is not None:", "while (at := None) is not None:",
        _LOG + "trimmed"),
    "a fence for each message": (
        "accession/src/accession/meta.py", """        if self._writing is not None and _covers(self._writing, wanted):
            self._waiters.append(done)
            return
        self._next.append((wanted, done))
        if self._writing is None:
""", "        self._next.append((wanted, done))\n        if True:\n", _LOG + "many_messages"),
    "a leaf in another's place": (
        "accession/src/accession/shelves.py", "return leaf.rows if leaf.name == name else None", "return leaf.rows",
        "tests/test_shelves.py -k anothers_place"),
    "a snapshot before its files": (
        "accession/src/accession/local.py", "        if not lacking:\n", "        if True:\n", "tests/test_shelves.py -k spare"),
    "who cannot make it is held": (
        "circulation/src/circulation/waiting.py", "return wait_ms + self.service_ms(tx) <= _SHARE * (tx.due_ms - now_ms)", "return True",
        "tests/test_waiting.py -k at_once"),
    "nobody waits": (
        "circulation/src/circulation/waiting.py", "return wait_ms + self.service_ms(tx) <= _SHARE * (tx.due_ms - now_ms)", "return False",
        "tests/test_waiting.py -k can_make_it"),
    "certain failures cost the budget": (
        "circulation/src/circulation/chart.py", "(free or self._budget.spend())", "self._budget.spend()", _CIRC + "free_once"),
    "a visitor who hangs up is a failure": (
        "circulation/src/circulation/carrier.py", "        self._finish(carriage, tx.gone())", "        self._finish(carriage, tx.placed(None, True))",
        "tests/test_waiting.py -k hangs_up"),
    "a lost baton stays lost": (
        "ledger/src/ledger/dealing.py", "if lot.ready > lot.placed and not self._live(lot.baton_edge):", "if False:",
        _LOTS + "all_finished"),
    "placed under an old baton": (
        "ledger/src/ledger/fold.py", "lot is not None and entry.epoch == lot.baton_epoch and", "lot is not None and",
        "tests/test_ledger.py -k baton"),
    "a leaving worker is used": (
        "circulation/src/circulation/roster.py", "if worker.leaving or self.silent(worker):", "if self.silent(worker):",
        _CIRC + "leave"),
    "a silent worker is used": (
        "circulation/src/circulation/roster.py", "if worker.leaving or self.silent(worker):", "if worker.leaving:",
        _CIRC + "silence"),
    "a stranger is used": (
        "circulation/src/circulation/roster.py", "if self.usable(worker) and self._allowed(worker.identity, worker.labels)]",
        "if self.usable(worker)]", _CIRC + "strangers"),
    "doubt resends an unsafe one": (
        "circulation/src/circulation/chart.py", "again = (not may_have_run or self.safe)", "again = (True)",
        _CIRC + "rows"),
    "doubt is told as not run": (
        "circulation/src/circulation/chart.py", "if self._runs:\n            refusal.verdict", "if False:\n            refusal.verdict",
        _CIRC + "rows"),
    "a cut stream looks whole": (
        "circulation/src/circulation/streams.py", "if not self.fault and (not self.ended or self._buffer.strip()):", "if False:",
        _CIRC + "rows"),
    "two runs are spliced": (
        "circulation/src/circulation/streams.py", 'self.fault = "another run"', "pass", _CIRC + "rows"),
    "a short body passes": (
        "circulation/src/circulation/streams.py", "if announced_bytes is None or announced_bytes != len(data):", "if False:",
        _CIRC + "bodies"),
    "another's body passes": (
        "circulation/src/circulation/exchange.py", "self._matches = found[WORKER_HEADER] == [self._worker] and found",
        "self._matches = not found or True or found", _EXCHANGES),
    "a lost connection is taken for not run": (
        "circulation/src/circulation/exchange.py", "return _failed(connected, reason", "return _failed(False, reason", _EXCHANGES),
    "any error is taken for not run": (
        "circulation/src/circulation/exchange.py", 'if self._status in _NOT_RUN_STATUS and verdict == "not_run":', "if self._status >= 400:",
        _EXCHANGES),
    "an endless answer is read on": (
        "circulation/src/circulation/exchange.py", "if self._size_bytes > self._limit_bytes:", "if False:", _EXCHANGES),
    "whoever is cut off takes the duty": (
        "accession/src/accession/watch.py", "if 1 + len(answers) < len(names) - f or any(", "if any(", "tests/test_holders.py -k cut_off_from_the_other"),
    "a holder that hears nobody is believed": (
        "accession/src/accession/store.py", "sure=self._at_work()))", "sure=True))", "tests/test_holders.py -k hears_nobody"),
    "a tail that is no longer shared is kept": (
        "accession/src/accession/recovery.py", "if record.seq <= shared])", "if True])", "tests/test_recovery.py -k old_tail"),
    "an old mark counts after a cut": (
        "accession/src/accession/local.py", "return seq if fence == self.meta.fence == self.meta.log_epoch else 0", "return seq",
        "tests/test_recovery.py -k mark"),
    "a snapshot takes in what came after it": (
        "accession/src/accession/local.py", "                self._maker.before(entry)\n", "                pass\n", "tests/test_recovery.py -k steps"),
    "only the first in order holds": (
        "accession/src/accession/watch.py", "return now_ms - self._ripe_ms >= willing.index(self._own) * params.pulse_ms",
        "return self._own == names[0]", _MEMBERS + "swapped"),
    "an edge stays with its first tree": (
        "readingroom/src/readingroom/nodes.py", "        if number != self._tree_number:\n", "        if not self._tree_number:\n", _DAYS + "calm"),
    "a change on any base is taken": (
        "registrar/src/registrar/tree_changes.py", "elif revision_of(tree) != call.base:", "elif False:", _DAYS + "calm"),
    "pieces of a result run together": (
        "circulation/src/circulation/item_run.py", 'self._end("finished", b"\\n".join(self._data), worker)',
        'self._end("finished", b"".join(self._data), worker)', _DAYS + "calm"),
    "an unsafe forwarded request is sent again": (
        "circulation/src/circulation/forward_chart.py", "return self.safe or not may_have_run and not self._runs", "return True",
        _DAYS + "faults"),
    "a draining worker on the list is used": (
        "circulation/src/circulation/roster.py", 'held.leaving = row.get("state", "serving") != "serving"', "held.leaving = False",
        _DAYS + "faults"),
    "anybody's answer passes": (
        "circulation/src/circulation/forward.py", "return self._seen.get(self._dialect.request_id.lower()) == [self._request_id]", "return True",
        _DAYS + "faults"),
    "a change of a loan under an old epoch": (
        "loans/src/loans/rows.py", 'if epoch is not None and row["epoch"] != epoch:', "if False:", "tests/test_loans.py -k States"),
    "an old word frees a lent worker": (
        "loans/src/loans/rows.py", 'if row["loan"] != loan:', "if False:", "tests/test_loans.py -k States"),
    "a worker is lent with calls under way": (
        "loans/src/loans/lending.py", "if self._is_drained(worker):", "if True:", "tests/test_loans_evening.py -k calls_are_done"),
    "lent below what live calls need": (
        "loans/src/loans/load.py", "if peak * _MARGIN > slots:", "if False:", "tests/test_loans.py -k why_not"),
    "lots are not put first": (
        "loans/src/loans/outlook.py", "if lot.waiting and log_ms + need_ms > lot.due_ms:", "if False:", "tests/test_loans.py -k Outlook"),
    "a call finds its slot borrowed": (
        "loans/src/loans/borrowing.py", "        if worker.borrowed:\n            now_ms", "        if False:\n            now_ms",
        "tests/test_loans_evening.py -k takes_its_slot"),
    "a sample of other weights counts": (
        "loans/src/loans/sampling.py", 'return self.good and self._call.weights not in ("", self._call.told)', "return False",
        "tests/test_loans.py -k weights"),
    "a sample given up is forgotten": (
        "loans/src/loans/borrowing.py", '        self._drop(sample)\n        sample.done("again", "", "")', "        self._drop(sample)",
        "tests/test_loans_evening.py -k nothing_is_late"),
}
