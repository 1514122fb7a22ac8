"""Compatibility with commit 472a6a3, the last one before the packages and types were renamed.

`data/messages_of_472a6a3.json` has one encoded sample of every message type, and
`data/stored_by_472a6a3` the data folders of three stores and two control nodes of a simulated fleet
that had just lost power, with what that commit read in them (`expected.json`). Both were written by
the code of that commit. Node-to-node messages and stored records are byte for byte the same, so a
node of that commit and a later one may run side by side, and either reads the other's disk.
"""

import hashlib
import importlib
import json
import pkgutil
import shutil
import tempfile
from pathlib import Path

import batch_state
import capacity_sharing
import config_feed
import control_store
import membership
import replicated_log
import request_routing
from control_store import Acceptor
from messaging import decode, encode
from replicated_log import LocalLog
from runtime import Settings
from storage import FolderDisk
from testtools import TestCase
from testtools.matchers import Equals

DATA = Path(__file__).parent / "data"
STORED = DATA / "stored_by_472a6a3"
_ROOM_BYTES = 1 << 26
_WITH_MESSAGES = (
    request_routing,
    config_feed,
    control_store,
    batch_state,
    capacity_sharing,
    membership,
    replicated_log,
)


def import_all_messages():
    """Import every module that may define a message type, which registers it."""
    for package in _WITH_MESSAGES:
        for module in pkgutil.iter_modules(package.__path__, package.__name__ + "."):
            importlib.import_module(module.name)


def sha256(data):
    return hashlib.sha256(data).hexdigest()


class Messages(TestCase):
    def test_every_type_reads_and_writes_the_bytes_of_before(self):
        import_all_messages()
        samples = json.loads((DATA / "messages_of_472a6a3.json").read_text())
        self.assertThat(len(samples), Equals(103))
        for name, sample in samples.items():
            data = bytes.fromhex(sample["hex"])
            self.assertThat((name, encode(decode(data))), Equals((name, data)))


class StoredData(TestCase):
    def copied(self, node):
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        copy = Path(folder) / node
        shutil.copytree(STORED / node, copy)
        disk = FolderDisk(str(copy), _ROOM_BYTES, lambda callback: callback())
        self.addCleanup(disk.close)
        return disk

    def expected(self, role):
        rows = json.loads((STORED / "expected.json").read_text())
        return {node: row for node, row in rows.items() if row["role"] == role}

    def test_a_store_reads_its_log_snapshot_and_archives(self):
        for node, row in self.expected("store").items():
            log = LocalLog(
                self.copied(node), Settings.model_construct(), lambda: 1000, lambda: "new"
            )
            state = b"".join(log.state.encoded())
            records = b"".join(record.frame for record in log.records)
            archived_jobs = [job for job in log.state.jobs.values() if job.archived is not None]
            archived_keys = [
                (name, key) for name, key in log.state.keys.items() if key.archived is not None
            ]
            self.assertThat(
                {
                    "role": "store",
                    "identity": log.identity,
                    "first_seq": log.first_seq,
                    "last_seq": log.last_seq,
                    "snapshot_seq": log.snapshot_seq,
                    "metadata": encode(log.metadata).hex(),
                    "jobs": {
                        name: [job.total, job.archived is not None]
                        for name, job in log.state.jobs.items()
                    },
                    "keys": sorted(log.state.keys),
                    "state_sha256": sha256(state),
                    "state_bytes": len(state),
                    "records_sha256": sha256(records),
                    "records": len(log.records),
                    "archived_results": {
                        job.job_id: sha256(repr(log.archive.read_results(job, 0, 1000)).encode())
                        for job in archived_jobs
                    },
                    "archived_answers": {
                        name: log.archive.read_answer(key) for name, key in archived_keys
                    },
                },
                Equals(row),
                node,
            )

    def test_a_control_node_reads_its_registers(self):
        for node, row in self.expected("control").items():
            voter = Acceptor(self.copied(node), lambda: "new")
            self.assertThat(
                {
                    "role": "control",
                    "identity": voter.identity,
                    "list_number": voter.list_number,
                    "registers": {
                        key: encode(register.to_record(key)).hex()
                        for key, register in sorted(voter.registers.items())
                    },
                },
                Equals(row),
                node,
            )
