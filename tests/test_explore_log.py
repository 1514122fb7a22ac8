"""The explorer on the replicated log: the invariants hold within small bounds, and mutations of fences, replication,
reads, claims and member changes are found.
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
MUTATION_STATES = 150_000

ORIGINAL_RECEIVE = Follower.receive
ORIGINAL_SAVE = MetadataFile.save
ORIGINAL_CHANGE = ConfigurationKey.change


def is_ready_after_own_flush(self, pending, replicated):
    """Commits a record once the leader has flushed it, without a quorum."""
    return pending.seq <= self._log.flushed_seq


class LogWithoutCommits:
    """A log without committed records, so that no append is refused for contradicting them."""

    committed_seq = 0

    def __init__(self, log):
        self._log = log

    def __getattr__(self, name):
        return getattr(self._log, name)


def accept_lower_epochs(self, message, reply, source=""):
    """Accepts the appends of an earlier leader as if the present leader had sent them."""
    if not isinstance(message, AppendRequest):
        ORIGINAL_RECEIVE(self, message, reply, source)
        return
    message.epoch = max(message.epoch, self._log.metadata.fence)
    log, self._log = self._log, LogWithoutCommits(self._log)
    ORIGINAL_RECEIVE(self, message, reply, source)
    self._log = log


def read_without_round(self, done):
    """Confirms a read without asking the followers whether the leader is still the leader."""
    done(True)


def save_in_memory(self, done, fence, log_epoch):
    """Reports fences as saved before they are on disk."""
    if self.is_new:
        ORIGINAL_SAVE(self, done, fence, log_epoch)
        return
    self.metadata = ReplicaMetadata(
        identity=self.metadata.identity,
        fence=max(self.metadata.fence, fence),
        log_epoch=max(self.metadata.log_epoch, log_epoch),
    )
    done(True)


def count_lost_claim_as_won(self, configuration, done):
    """Treats a claim that another store won as won by this store."""

    def changed(outcome):
        if outcome == "lost":
            self.configuration = configuration
            outcome = "ok"
        done(outcome)

    ORIGINAL_CHANGE(self, configuration, changed)


def acknowledge_at_once(self, entries, durable, done, urgent=False):
    done(Outcome.ACKNOWLEDGED)
    return True


def present_members_only(self):
    """Requires a quorum of the present members only, also during a change of members."""
    return [self.members]


def change_ready_at_once(self, faults, own_flushed_seq):
    """Changes the control key before the new members have the acknowledged records."""
    return True


# The mutation, the initial state in which it is found, and the invariants that may be violated first.
MUTATIONS = {
    "commit after the leader's flush alone": (
        (Leader, "_is_ready", is_ready_after_own_flush),
        "holder-lost",
        ("L2",),
    ),
    "append acknowledged before it is written": (
        (Leader, "append", acknowledge_at_once),
        "holder-lost",
        ("L2",),
    ),
    "a follower accepts lower epochs": (
        (Follower, "receive", accept_lower_epochs),
        "holder-lost",
        ("L1", "L2"),
    ),
    "a read without a quorum round": ((Leader, "read", read_without_round), "old-holder", ("L4",)),
    "fences reported before they are on disk": (
        (MetadataFile, "save", save_in_memory),
        "holder-lost-and-power",
        ("L5",),
    ),
    "a lost claim counts as won": (
        (ConfigurationKey, "change", count_lost_claim_as_won),
        "two-claim",
        ("L3",),
    ),
    "quorum of the present members alone during a change": (
        (Quorums, "_lists", present_members_only),
        "retired-unheard",
        ("L2",),
    ),
    "a change before the new members have the log": (
        (Quorums, "is_change_ready", change_ready_at_once),
        "gone-behind",
        ("L2",),
    ),
    "the same with a retired member": (
        (Quorums, "is_change_ready", change_ready_at_once),
        "retired-behind",
        ("L2",),
    ),
}


def search(state_name, **bounds):
    return Explorer(INITIAL_STATES[state_name].model(**bounds)).search()


class LogExploration(TestCase):
    def test_invariants_hold(self):
        for name in LOG_INITIAL_STATES:
            result = search(name, states=STATES)
            self.assertThat((name, result.violation), Equals((name, None)))
            self.assertThat(result.is_complete or result.states >= STATES, Equals(True), name)

    def test_initial_states_have_a_member_change_under_way(self):
        for name in MEMBER_CHANGE_INITIAL_STATES:
            explorer = Explorer(INITIAL_STATES[name].model())
            store = explorer.local_states.run(explorer.initial_state().nodes[1]).node.components[0]
            following = store.leader._quorums.new_members
            new = "store-n2-2-1" if name.startswith("returned") else "store-n4"
            self.assertThat(following, Equals(["store-n1", "store-n3", new]), name)

    def test_a_member_change_with_one_fault_is_safe(self):
        for state_name in ("gone-unheard", "retired-unheard", "returned-unheard"):
            for fault in FAULTS:
                result = search(state_name, states=FAULT_STATES, **{fault: 1})
                self.assertThat(
                    (state_name, fault, result.violation), Equals((state_name, fault, None))
                )

    def test_mutations_are_found(self):
        for name, (
            (target, name_in_target, replacement),
            state_name,
            invariants,
        ) in MUTATIONS.items():
            with mock.patch.object(target, name_in_target, replacement):
                result = search(state_name, states=MUTATION_STATES)
            self.assertThat(result.violation is not None, Equals(True), name)
            self.assertThat(invariants, Contains(result.violation.invariant), name)
            print(
                f"{name}: {result.violation} after {result.states} states, depth {result.depth + 1}"
            )
