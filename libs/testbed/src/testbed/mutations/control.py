"""Mutations of the control keys, their voters, the configuration feed and their HTTP interface."""

__all__ = ["MUTATIONS"]

_CONTROL = "tests/test_control.py -k "
_FEED = "tests/test_feed.py -k "
_FAN = "tests/test_fan_out.py -k "
_BOOTSTRAP = "tests/test_voter_bootstrap.py -k "
_DAYS = "tests/test_platform_days.py -k "
_EXPLORE = "tests/test_explore.py -k "
_VOTER_FILES = "tests/test_voter_files.py -k "
_MANY = "tests/test_many_changes.py -k "
_CONFIGURATION = "tests/test_configuration_changes.py -k "
_PROFILES = "tests/test_profiles_and_retirements.py -k "
_ISOLATED = "tests/test_isolated_control_node.py -k "
_VOTER_LOSSES = "tests/test_voter_losses.py -k "

MUTATIONS: dict[str, tuple[str, str, str, str]] = {
    "a cut-off control node hands out settings": (
        "config_feed/src/config_feed/feed.py",
        'if message.role == "control" or self.serves_updates():',
        "if True:",
        _ISOLATED + "no_update",
    ),
    "a control node that is back vouches before it has read": (
        "control_plane/src/control_plane/nodes.py",
        "and self.read_barrier.passed()",
        "",
        _ISOLATED + "reconnected_control",
    ),
    "an edge begins by the word of a cut-off neighbour": (
        "data_plane/src/data_plane/edge_readiness.py",
        "and not self._hears_some_control()",
        "",
        _ISOLATED + "peer",
    ),
    "a duty is left with a voter that is only heard of": (
        "control_store/src/control_store/forwarding.py",
        "first_live(direct, membership.has_majority_contact) or",
        "",
        _ISOLATED + "reconnected_control",
    ),
    "a retirement is refused by a node that knows too little": (
        "control_plane/src/control_plane/retirement.py",
        "RetirementStatus.DOUBT if is_recent else refusal",
        "refusal",
        _ISOLATED + "retirement",
    ),
    "a new steward gives up a replacement": (
        "control_store/src/control_store/voter_succession.py",
        "return current.successor(voters) if returned else None",
        "return current.successor(voters)",
        _VOTER_LOSSES + "gives_up",
    ),
    "a lost voter stays on an even list": (
        "control_store/src/control_store/voter_succession.py",
        "if lost and len(voters) % 2 == 0:",
        "if False:",
        _VOTER_LOSSES + "before_the_loss",
    ),
    "voters change without a sweep": (
        "control_store/src/control_store/coordinator.py",
        "self._key_sweep.ensure_all_replicated(lambda ok: self._on_swept(next_list, ok))",
        "self._on_swept(next_list, True)",
        _CONTROL + "swept",
    ),
    "a lost change is taken": (
        "control_store/src/control_store/key_owner.py",
        "elif isinstance(message, FindChange) or message.version != value.version:",
        "elif isinstance(message, FindChange):",
        _CONTROL + "two_changes",
    ),
    "a resent change is taken again": (
        "control_store/src/control_store/key_owner.py",
        "if version is not None:",
        "if False:",
        _CONTROL + "resend",
    ),
    "one vote is a majority": (
        "control_store/src/control_store/quorum_round.py",
        "len(voters) // 2 + 1",
        "1",
        _CONTROL + "minority",
    ),
    "an older version is accepted": (
        "control_store/src/control_store/acceptor.py",
        " or (proposal == register.accepted and version < register.version)",
        "",
        _CONTROL + "late_accept",
    ),
    "acknowledged before it is in force": (
        "control_store/src/control_store/pending_acknowledgements.py",
        "return majority and ( now_ms >= change.due_ms or config_feed.all_have(",
        "return majority and (True or config_feed.all_have(",
        _FEED + "not_acknowledged",
    ),
    "acknowledged with most edges cut off": (
        "config_feed/src/config_feed/version_tracker.py",
        "return not self.needs_majority or 2 * len(serving & have) > len(serving)",
        "return True",
        _FEED + "doubt_until",
    ),
    "the roll changes without its majority": (
        "control_store/src/control_store/serving_set.py",
        "if not config_feed.majority_has(SERVING_SET_KEY, config_feed.version(SERVING_SET_KEY), settings.confirmation_timeout_ms):",
        "if False:",
        _FEED + "doubt_until",
    ),
    "the feed goes back": (
        "config_feed/src/config_feed/feed.py",
        "if update.version <= self.version(update.key):\n                continue",
        "if False:\n                continue",
        _FEED + "old_update",
    ),
    "acknowledged while a voter's edges lack it": (
        "config_feed/src/config_feed/version_tracker.py",
        "if any(lows.get(key, version) < version for",
        "if any(False for",
        _FAN + "not_waited_for",
    ),
    "reports go to a voter that is cut off": (
        "config_feed/src/config_feed/digest_targets.py",
        "if address in self._targets and len(self._preference) > len(self._targets):",
        "if False:",
        _FAN + "leaves_voters",
    ),
    "a voter that hears nobody keeps its duties": (
        "control_store/src/control_store/forwarding.py",
        "first_live(direct, membership.has_majority_contact) or first_live(order, membership.has_majority_contact) or",
        "",
        _BOOTSTRAP + "hears_nobody",
    ),
    "a disk that lost its vote votes again": (
        "control_store/src/control_store/bootstrap.py",
        "elif not self._may_bootstrap():",
        "elif False:",
        _BOOTSTRAP + "wiped_before",
    ),
    "a lost disk's vote under way is not waited for": (
        "control_store/src/control_store/voter_succession.py",
        "if observations.is_stable(node):",
        "if True:",
        _BOOTSTRAP + "another_identity",
    ),
    "a change on any base is taken": (
        "control_plane/src/control_plane/configuration_changes.py",
        "elif _revision_of(configuration) != call.change.base:",
        "elif False:",
        _DAYS + "calm",
    ),
    "a forgotten order is refused": (
        "control_store/src/control_store/change_memory.py",
        "if first_version == 1 or change.version >= first_version - 1:",
        "if True:",
        _CONFIGURATION + "however_many",
    ),
    "what is too old is judged by its base alone": (
        "control_store/src/control_store/change_memory.py",
        "change.base >= first_base or change.number > first_base",
        "change.base >= first_base",
        _CONFIGURATION + "however_many",
    ),
    "acknowledged while no other voter hands it out": (
        "control_store/src/control_store/pending_acknowledgements.py",
        "return 2 * len(publishing & set(voters)) > len(voters)",
        "return True",
        _CONFIGURATION + "nobody_publishes",
    ),
    "a patch on another version is sent on": (
        "control_plane/src/control_plane/profiles_api.py",
        "if result.version != body.version:",
        "if False:",
        _PROFILES + "only_looked_up",
    ),
    "an id names any contents": (
        "control_plane/src/control_plane/request_bodies.py",
        "text = json.dumps([change_id, contents.KIND, sent], sort_keys=True)",
        "text = change_id",
        _PROFILES + "two_contents",
    ),
    "too few is told before all can be heard": (
        "control_plane/src/control_plane/retirement.py",
        "is_recent = self.node.env.now() - self._in_contact_since_ms < after_ms",
        "is_recent = False",
        _PROFILES + "too_few",
    ),
    "an old log takes a key back": (
        "control_store/src/control_store/register.py",
        "return self.promised, self.accepted, self.version",
        "return self.promised, self.accepted, 0",
        _VOTER_FILES + "old_log",
    ),
    "a vote is told as held before its flush": (
        "control_store/src/control_store/acceptor.py",
        "if with_body else register.flushed",
        "if True else register.flushed",
        _VOTER_FILES + "reported_as_flushed",
    ),
    "a voter's log grows while its disk is busy": (
        "control_store/src/control_store/register_store.py",
        "if self._log_bytes > self._node.settings.segment_bytes:",
        "if False:",
        _VOTER_FILES + "never_idle",
    ),
    "a voter whose device was full never votes again": (
        "storage/src/storage/disk.py",
        "if self._steps or self._full:",
        "if self._steps:",
        _VOTER_FILES + "votes_again",
    ),
    "a late beat ends its successor": (
        "control_store/src/control_store/worker_records.py",
        "**{other: worker.address for other, worker in self._silent.items()},",
        "",
        _MANY + "late_heartbeat",
    ),
    "an exchanged fleet's ended workers are forgotten": (
        "control_store/src/control_store/worker_records.py",
        "limit = max(REMEMBERED_IDENTITIES, 2 * len(self._workers))",
        "limit = REMEMBERED_IDENTITIES",
        _MANY + "turned_over",
    ),
    "a patch is merged into any base": (
        "config_feed/src/config_feed/feed.py",
        "elif update.base_version == self.version(update.key):",
        "elif True:",
        _MANY + "with_a_standby",
    ),
    "votes before they are on disk": (
        "control_store/src/control_store/register_store.py",
        "self._disk.flush(names, flushed)",
        "flushed(True)",
        _EXPLORE + "invariants_hold",
    ),
    "a voter takes any epoch": (
        "control_store/src/control_store/acceptor.py",
        "if proposal < register.promised or ( proposal == register.accepted",
        "if ( proposal == register.accepted",
        _EXPLORE + "invariants_hold",
    ),
}
