"""Catalogue: the control state. Keys that are each decided by ballots over the voters' disks and
owned by one node at a time; the profiles and the members that these keys hold."""

from catalogue.client import ControlClient
from catalogue.founding import Founding
from catalogue.messages import Change, Changed, ReadKey
from catalogue.owner import Owner
from catalogue.profiles import Profile, Tree, explain, profiles_digest
from catalogue.roll import Roll
from catalogue.rows import check_tree
from catalogue.voter import Register, Voter
from catalogue.worker_list import WorkerList
from catalogue.worker_rows import WorkerReport, apply_reports, empty_list

__all__ = ["Change", "Changed", "ControlClient", "Founding", "Owner", "Profile", "ReadKey", "Register", "Roll", "Tree",
           "Voter", "WorkerList", "WorkerReport", "apply_reports", "check_tree", "empty_list", "explain",
           "profiles_digest"]
