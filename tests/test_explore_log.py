"""The explorer on the replicated log: all invariants hold within small bounds, and mutations of fences, replicas,
reads, claims and changes of members are found.
"""

from unittest import mock

from modelcheck import Explorer
from modelcheck.initial_states import INITIAL_STATES
from modelcheck.log_initial_states import LOG_INITIAL_STATES
from modelcheck.member_change_initial_states import MEMBER_CHANGE_INITIAL_STATES
from replicated_log import Leader
from replicated_log.configuration_key import ConfigurationKey
from replicated_log.follower import Follower
from replicated_log.leader import Outcome
from replicated_log.messages import AppendRequest, ReplicaMetadata
from replicated_log.metadata_file import MetadataFile
from replicated_log.quorums import Quorums
from testtools import TestCase
from testtools.matchers import Contains, Equals

STATES = 4_000
FAULTS = ("wipes", "powers", "kills", "timeouts", "duplicates")
FAULT_STATES = 1_000
LIMIT = 150_000

ORIGINAL_RECEIVE = Follower.receive
ORIGINAL_SAVE = MetadataFile.save
ORIGINAL_CHANGE = ConfigurationKey.change


def committed_here(self, pending, replicated):
    """The leader's own disk is enough."""
    return pending.seq <= self._log.flushed_seq


class NothingCommitted:
    """A log that doesn't know what is committed, so that nothing is refused for contradicting it."""

    committed_seq = 0

    def __init__(self, log):
        self._log = log

    def __getattr__(self, name):
        return getattr(self._log, name)


def take_lower_epochs(self, message, reply, source=""):
    """A follower takes what an earlier leader sends as if it came from the present one."""
    if not isinstance(message, AppendRequest):
        ORIGINAL_RECEIVE(self, message, reply, source)
        return
    message.epoch = max(message.epoch, self._log.metadata.fence)
    log, self._log = self._log, NothingCommitted(self._log)
    ORIGINAL_RECEIVE(self, message, reply, source)
    self._log = log


def read_without_round(self, done):
    """A leader reads without asking its followers whether it is the leader still."""
    done(True)


def keep_in_memory(self, done, fence, log_epoch):
    """Fences are told before they are on disk."""
    if self.is_new:
        ORIGINAL_SAVE(self, done, fence, log_epoch)
        return
    self.metadata = ReplicaMetadata(
        identity=self.metadata.identity,
        fence=max(self.metadata.fence, fence),
        log_epoch=max(self.metadata.log_epoch, log_epoch),
    )
    done(True)


def claim_lost(self, configuration, done):
    """A claim that another won counts as won."""

    def changed(outcome):
        if outcome == "lost":
            self.configuration = configuration
            outcome = "ok"
        done(outcome)

    ORIGINAL_CHANGE(self, configuration, changed)


def acknowledged_at_once(self, entries, durable, done, urgent=False):
    done(Outcome.ACKNOWLEDGED)
    return True


def present_list_alone(self):
    """During a change of members only the present list counts."""
    return [self.members]


def change_ready_at_once(self, faults, own_flushed_seq):
    """The control key is changed before the following members have what was acknowledged."""
    return True


# What is broken, the start that shows it, and the invariants that may be the first to fail.
MUTATIONS = {
    "one disk is enough": ((Leader, "_is_ready", committed_here), "holder-lost", ("L2",)),
    "acknowledged unwritten": ((Leader, "append", acknowledged_at_once), "holder-lost", ("L2",)),
    "lower epochs are taken": (
        (Follower, "receive", take_lower_epochs),
        "holder-lost",
        ("L1", "L2"),
    ),
    "a reading without a round": ((Leader, "read", read_without_round), "old-holder", ("L4",)),
    "fences in memory": ((MetadataFile, "save", keep_in_memory), "holder-lost-and-power", ("L5",)),
    "a lost claim counts": ((ConfigurationKey, "change", claim_lost), "two-claim", ("L3",)),
    "one list during a change": (
        (Quorums, "_lists", present_list_alone),
        "retired-unheard",
        ("L2",),
    ),
    "a change before its members have the log": (
        (Quorums, "is_change_ready", change_ready_at_once),
        "gone-behind",
        ("L2",),
    ),
    "the same, a member leaves": (
        (Quorums, "is_change_ready", change_ready_at_once),
        "retired-behind",
        ("L2",),
    ),
}


def search(start, **bounds):
    return Explorer(INITIAL_STATES[start].model(**bounds)).search()


class ExploringTheLog(TestCase):
    def test_invariants_hold(self):
        for name in LOG_INITIAL_STATES:
            result = search(name, states=STATES)
            self.assertThat((name, result.violation), Equals((name, None)))
            self.assertThat(result.is_complete or result.states >= STATES, Equals(True), name)

    def test_a_member_change_is_under_way_initially(self):
        for name in MEMBER_CHANGE_INITIAL_STATES:
            explorer = Explorer(INITIAL_STATES[name].model())
            store = explorer.local_states.run(explorer.initial_state().nodes[1]).node.components[0]
            following = store.leader._quorums.new_members
            new = "store-n2-2-1" if name.startswith("returned") else "store-n4"
            self.assertThat(following, Equals(["store-n1", "store-n3", new]), name)

    def test_a_change_with_one_fault(self):
        for start in ("gone-unheard", "retired-unheard", "returned-unheard"):
            for fault in FAULTS:
                result = search(start, states=FAULT_STATES, **{fault: 1})
                self.assertThat((start, fault, result.violation), Equals((start, fault, None)))

    def test_mutations_are_found(self):
        for name, ((where, what, other), start, invariants) in MUTATIONS.items():
            with mock.patch.object(where, what, other):
                result = search(start, states=LIMIT)
            self.assertThat(result.violation is not None, Equals(True), name)
            self.assertThat(invariants, Contains(result.violation.invariant), name)
            print(
                f"{name}: {result.violation} after {result.states} states, depth {result.depth + 1}"
            )
