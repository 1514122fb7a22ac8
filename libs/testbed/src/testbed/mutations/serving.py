"""Mutations of request routing, edges, shared capacity, and messages between nodes."""

__all__ = ["MUTATIONS"]

_BATCH_JOBS = "tests/test_batch_jobs.py -k "
_FEED = "tests/test_feed.py -k "
_DRAINING = "tests/test_draining.py -k "
_ROUTING = "tests/test_request_routing.py -k "
_EXCHANGES = "tests/test_exchanges.py"
_DAYS = "tests/test_platform_days.py -k "
_CLAIMS = "tests/test_late_claims.py -k "
_KEPT = "tests/test_kept_connections.py -k "
_WIRE = "tests/test_wire_faults.py -k "

MUTATIONS: dict[str, tuple[str, str, str, str]] = {
    "a cut-off edge stays ready": (
        "data_plane/src/data_plane/edge_readiness.py",
        "if not (self._hears_control(now_ms) or self._hears_most(now_ms)):",
        "if False:",
        _FEED + "disconnected_edge",
    ),
    "a cut-off edge keeps its claims": (
        "request_routing/src/request_routing/batch_execution/job_runner.py",
        "if self.running() and silent_ms > settings.claim_timeout_ms:",
        "if False:",
        _BATCH_JOBS + "partitioned",
    ),
    "a draining edge takes what it can't finish": (
        "data_plane/src/data_plane/drain_schedule.py",
        "return now_ms <= self.take_all_until_ms or due_ms <= self.answer_by_ms",
        "return True",
        _DRAINING + "read_after_sigterm",
    ),
    "a draining edge leaves requests without an answer": (
        "data_plane/src/data_plane/edge_node.py",
        "        self.router.limit_deadlines(schedule.answer_by_ms)\n",
        "",
        _DRAINING + "read_after_sigterm",
    ),
    "who cannot make it is held": (
        "request_routing/src/request_routing/admission_control.py",
        "    if now_ms + wait_ms > latest_start_ms:",
        "    if False:",
        "tests/test_admission.py -k at_once",
    ),
    "nobody waits": (
        "request_routing/src/request_routing/admission_control.py",
        "    if now_ms + wait_ms > latest_start_ms:",
        "    if True:",
        "tests/test_admission.py -k meet_its_deadlines",
    ),
    "an outage holds every call to its deadline": (
        "request_routing/src/request_routing/admission_control.py",
        "return _admission(now_ms + wait_ms <= queued.latest_start_ms, wait_ms)",
        "return _admission(True, wait_ms)",
        "tests/test_waits_and_refusals.py -k too_late_for_them",
    ),
    "each failed call lengthens the backoff": (
        "request_routing/src/request_routing/worker_registry.py",
        "if now_ms >= worker.retry_at_ms:",
        "if True:",
        "tests/test_placement.py -k one_outage",
    ),
    "a stream waits longer than its client": (
        "request_routing/src/request_routing/in_flight.py",
        "return min(due_ms, self.last_delivered_ms + client_patience_ms(self.lifecycle.profile))",
        "return due_ms",
        "tests/test_waits_and_refusals.py -k client_would_give_up",
    ),
    "certain failures cost the budget": (
        "request_routing/src/request_routing/lifecycle.py",
        "(free or self._budget.spend())",
        "self._budget.spend()",
        _ROUTING + "free_once",
    ),
    "a visitor who hangs up is a failure": (
        "request_routing/src/request_routing/request_router.py",
        "        self._finish(request, lifecycle.client_disconnected())",
        "        self._finish(request, lifecycle.no_worker_free(True))",
        "tests/test_admission.py -k disconnect",
    ),
    "a leaving worker is used": (
        "request_routing/src/request_routing/worker_registry.py",
        "if worker.leaving or self.is_silent(worker):",
        "if self.is_silent(worker):",
        _ROUTING + "leave",
    ),
    "a silent worker is used": (
        "request_routing/src/request_routing/worker_registry.py",
        "if worker.leaving or self.is_silent(worker):",
        "if worker.leaving:",
        _ROUTING + "silence",
    ),
    "a stranger is used": (
        "request_routing/src/request_routing/worker_registry.py",
        "if self.is_usable(worker) and self._allowed(worker.identity, worker.labels)]",
        "if self.is_usable(worker)]",
        _ROUTING + "not_allowed",
    ),
    "doubt resends an unsafe one": (
        "request_routing/src/request_routing/lifecycle.py",
        "safe = not may_have_run or self.idempotent",
        "safe = True",
        _ROUTING + "event_sequence",
    ),
    "doubt is told as not run": (
        "request_routing/src/request_routing/lifecycle.py",
        "if self._may_have_run:\n            refusal.verdict",
        "if False:\n            refusal.verdict",
        _ROUTING + "event_sequence",
    ),
    "a cut stream looks whole": (
        "request_routing/src/request_routing/stream_checks.py",
        "if not self.fault and (not self.ended or self._buffer.strip()):",
        "if False:",
        _ROUTING + "stream_faults",
    ),
    "two runs are spliced": (
        "request_routing/src/request_routing/stream_checks.py",
        'self.fault = "another run"',
        "pass",
        _ROUTING + "stream_faults",
    ),
    "a short body passes": (
        "request_routing/src/request_routing/stream_checks.py",
        "if announced_bytes is None or announced_bytes != len(data):",
        "if False:",
        _ROUTING + "body_faults",
    ),
    "another's body passes": (
        "request_routing/src/request_routing/worker_exchange.py",
        "self._matches = found[WORKER_HEADER] == [self._worker] and found",
        "self._matches = not found or True or found",
        _EXCHANGES,
    ),
    "a lost connection is taken for not run": (
        "request_routing/src/request_routing/worker_exchange.py",
        "return failed(connected, reason",
        "return failed(False, reason",
        _EXCHANGES,
    ),
    "any error is taken for not run": (
        "request_routing/src/request_routing/worker_exchange.py",
        "if self._status in _NOT_RUN_STATUS and not_run:",
        "if self._status >= 400:",
        _EXCHANGES,
    ),
    "an endless answer is read on": (
        "request_routing/src/request_routing/worker_exchange.py",
        "if self._size_bytes > self._limit_bytes:",
        "if False:",
        _EXCHANGES,
    ),
    "an edge stays with its first profiles": (
        "data_plane/src/data_plane/data_node.py",
        "        if version != self._profile_tree_version:\n",
        "        if not self._profile_tree_version:\n",
        _DAYS + "calm",
    ),
    "pieces of a result run together": (
        "request_routing/src/request_routing/batch_execution/item_run.py",
        'self._end(ItemOutcome.FINISHED, b"\\n".join(self._data), worker)',
        'self._end(ItemOutcome.FINISHED, b"".join(self._data), worker)',
        _DAYS + "calm",
    ),
    "an unsafe forwarded request is sent again": (
        "request_routing/src/request_routing/forward_lifecycle.py",
        "return self.idempotent or (not may_have_run and not self._may_have_run)",
        "return True",
        _DAYS + "faults",
    ),
    "a draining worker on the list is used": (
        "request_routing/src/request_routing/worker_registry.py",
        'worker.leaving = row.get("state", _SERVING) != _SERVING',
        "worker.leaving = False",
        _DAYS + "faults",
    ),
    "anybody's answer passes": (
        "request_routing/src/request_routing/forward_exchange.py",
        "return self._values.get(self._header_names.request_id.lower()) == [self._request_id]",
        "return True",
        _DAYS + "faults",
    ),
    "a change of a loan under an old epoch": (
        "capacity_sharing/src/capacity_sharing/loan_table.py",
        "if epoch is not None and loan.epoch != epoch:",
        "if False:",
        "tests/test_capacity_sharing.py -k LoanTableChanges",
    ),
    "an old word frees a lent worker": (
        "capacity_sharing/src/capacity_sharing/loan_table.py",
        "if loan.number != number:",
        "if False:",
        "tests/test_capacity_sharing.py -k LoanTableChanges",
    ),
    "a worker is lent with calls under way": (
        "capacity_sharing/src/capacity_sharing/loan_manager.py",
        "if self._is_drained(worker):",
        "if True:",
        "tests/test_capacity_sharing_evening.py -k calls_have_ended",
    ),
    "lent below what live calls need": (
        "capacity_sharing/src/capacity_sharing/load.py",
        "if peak * _PEAK_MARGIN > slots:",
        "if False:",
        "tests/test_capacity_sharing.py -k refusal_reasons",
    ),
    "jobs are not put first": (
        "capacity_sharing/src/capacity_sharing/deadline_forecast.py",
        "if job.waiting and log_ms + needed_ms > job.due_ms:",
        "if False:",
        "tests/test_capacity_sharing.py -k JobDeadlineForecasts",
    ),
    "a call finds its slot borrowed": (
        "capacity_sharing/src/capacity_sharing/sample_runner.py",
        "        if worker.borrowed:\n            if not call.job:",
        "        if False:\n            if not call.job:",
        "tests/test_capacity_sharing_evening.py -k reclaims_its_slot",
    ),
    "samples of other edges count as load": (
        "request_routing/src/request_routing/worker.py",
        "reported = self.running + self.waiting - self.borrowed_elsewhere",
        "reported = self.running + self.waiting",
        "tests/test_capacity_sharing_evening.py -k reclaims_its_slot",
    ),
    "a sample of other weights counts": (
        "capacity_sharing/src/capacity_sharing/sampling.py",
        'return self.is_success and self._call.weights not in ("", self._call.reported_weights)',
        "return False",
        "tests/test_capacity_sharing.py -k required_weights",
    ),
    "a sample given up is forgotten": (
        "capacity_sharing/src/capacity_sharing/sample_runner.py",
        '        self._stop(sample)\n        sample.done(ItemOutcome.AGAIN, "", "")',
        "        self._stop(sample)",
        "tests/test_capacity_sharing_evening.py -k nothing_is_late",
    ),
    "a repeated id meets its own earlier answer": (
        "data_plane/src/data_plane/connection_pool.py",
        "elif protocol.request_id == outgoing.request_id:",
        "elif False:",
        _KEPT + "late_answer",
    ),
    "unasked bytes are overlooked": (
        "data_plane/src/data_plane/connection_pool.py",
        "if data and not self._awaiting_response:",
        "if False:",
        _KEPT + "unexpected_bytes",
    ),
    "a begun surplus answer is overlooked": (
        "data_plane/src/data_plane/connection_pool.py",
        "elif protocol.has_surplus():",
        "elif False:",
        _KEPT + "unexpected_bytes",
    ),
    "the library sends again on its own": (
        "data_plane/src/data_plane/connection_pool.py",
        "session._retry_connection = False",
        "session._retry_connection = True",
        _KEPT + "a_reset",
    ),
    "a refusal without an id promises": (
        "request_routing/src/request_routing/forward_exchange.py",
        "if not self._matches:\n    return self._unmatched(otherwise)",
        "if not self._matches and self._header_names.request_id.lower() in self._values:\n    return self._unmatched(otherwise)",
        _KEPT + "before_the_request",
    ),
    "draining drops a request just read": (
        "data_plane/src/data_plane/client_connections.py",
        "or (self._request_count and not waiting)",
        "",
        _WIRE + "end_of_accepting",
    ),
    "an older client gets an interim answer": (
        "data_plane/src/data_plane/body_reader.py",
        "return expects and request.version >= HttpVersion11",
        "return expects",
        _WIRE + "interim",
    ),
    "a reply after its time is told": (
        "messaging/src/messaging/components.py",
        "request.on_reply(message if is_in_time else None)",
        "request.on_reply(message)",
        "tests/test_node_requests.py -k freeze",
    ),
    "lives of a node number their asks alike": (
        "messaging/src/messaging/components.py",
        "env.rng.getrandbits(_REQUEST_ID_BITS) + 1",
        "1",
        "tests/test_node_requests.py -k start",
    ),
    "a claim is handed back under an old number": (
        "batch_state/src/batch_state/result_reports.py",
        "if not item.claimed_under(message.claim_number):\n"
        "return []\n"
        "return [ItemReturned(job_id=message.job_id, index=message.index, claim_number=message.claim_number)]",
        "if item.state != ItemState.CLAIMED:\n                return []\n            "
        "return [ItemReturned(job_id=message.job_id, index=message.index, claim_number=item.claim_number)]",
        _CLAIMS + "returned_late",
    ),
    "an item's failure counts under an old number": (
        "batch_state/src/batch_state/forward_completion.py",
        "if not item.claimed_under(report.claim_number):",
        "if item.state != ItemState.CLAIMED:",
        _CLAIMS + "uses_up",
    ),
    "an edge that stood still runs on": (
        "request_routing/src/request_routing/batch_execution/job_runner.py",
        "if gap_ms > self.node.settings.claim_timeout_ms:",
        "if False:",
        _CLAIMS + "stood_still",
    ),
    "work of a succeeded holder is begun": (
        "request_routing/src/request_routing/batch_execution/job_runner.py",
        "if response.epoch < self._leader.epoch:",
        "if False:",
        _CLAIMS + "superseded",
    ),
    "any answer ends a begun stream": (
        "request_routing/src/request_routing/attempt_results.py",
        "if begun and ends and not attempt.exchange.is_event_stream:",
        "if False:",
        _WIRE + "no_continuation",
    ),
}
