"""Training rollouts in the capacity that live calls and batch jobs leave over.

Samples of a rollout run in single slots and are preempted by anything else. Whole workers are lent
under epochs, once every edge has nothing left there, and return when the worker itself reports that
it is free.

- Slots: `sample_runner` runs the samples of an edge, `slots` says which slots it may fill,
  `entitlement` divides them among the edges, `slot_requests` asks other edges for slots, and
  `sampling` is the call to a worker.
- Whole workers: `loan_table` has the states of loans and their changes, `loan_manager` decides them
  at control, and `lent_workers` follows them at an edge.
- `load` says what live calls need, and `deadline_forecast` whether batch jobs will meet their
  deadlines.
- `pending_calls` has calls on control keys that wait for a result; the operators' calls of
  `control_plane` use it too.

It may import control_store, config_feed, membership, batch_state and request_routing; the programs
import it. A new reason to refuse or recall a loan goes into `load`.
"""

from capacity_sharing.deadline_forecast import JobDeadlineForecast
from capacity_sharing.lent_workers import LentWorkers
from capacity_sharing.loan_manager import LoanManager, LoanOutcome, LoanStatus
from capacity_sharing.loan_table import LOANS_KEY, LoanState
from capacity_sharing.sample_runner import SampleRunner

__all__ = [
    "LOANS_KEY",
    "JobDeadlineForecast",
    "LentWorkers",
    "LoanManager",
    "LoanOutcome",
    "LoanState",
    "LoanStatus",
    "SampleRunner",
]
