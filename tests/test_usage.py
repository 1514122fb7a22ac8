"""The usage export: each finished request and item once, with the documented columns."""

import json
import tempfile
from pathlib import Path

from control_plane.usage import FIELDS, export_usage
from pyarrow import csv, parquet
from testtools import TestCase
from testtools.matchers import Equals


def line(transaction, at="2026-01-01T00:00:00", **fields):
    return json.dumps(
        {
            "at": at,
            "event": "transaction-ended",
            "node": "e1",
            "path": "p",
            "transaction": transaction,
            "key": "",
            "state": "done",
            "sends": [["w/1", "lost"], ["v/1", "done"]],
            "took_ms": 9,
            "bytes": 3,
            "replayed": False,
            **fields,
        }
    )


class UsageExport(TestCase):
    def test_each_finished_request_and_item_is_exported_once(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "a.log").write_text(
                "\n".join(
                    [
                        line("t1"),
                        line("t1"),
                        line("t2", state="refused"),
                        line("t3", replayed=True),
                        "{broken",
                        line("i1", at="2026-01-02", lot="l", index=0),
                        json.dumps({"event": "started"}),
                    ]
                )
            )
            (folder / "b.log").write_text(
                "\n".join(
                    [
                        line("i2", at="2026-01-01", lot="l", index=0),
                        line("i3", lot="l", index=1),
                        "[]",
                    ]
                )
            )
            logs = [folder / "a.log", folder / "b.log"]
            self.assertThat(export_usage(logs, folder / "out.parquet", "parquet"), Equals((3, 2)))
            table = parquet.read_table(folder / "out.parquet")
            self.assertThat(
                [(field.name, str(field.type)) for field in table.schema], Equals(list(FIELDS))
            )
            rows = {row["transaction"]: row for row in table.to_pylist()}
            self.assertThat(sorted(rows), Equals(["i2", "i3", "t1"]))
            self.assertThat(
                (rows["i2"]["kind"], rows["t1"]["worker"], rows["t1"]["sends"]),
                Equals(("item", "v/1", 2)),
            )
            export_usage(logs, folder / "out.csv", "csv")
            self.assertThat(csv.read_csv(folder / "out.csv").num_rows, Equals(3))
