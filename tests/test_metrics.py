"""The text of /metrics, read back by the parser of prometheus_client."""

from data_plane.metrics import HELP, Metrics
from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase
from testtools.matchers import Equals


class MetricsTextTest(TestCase):
    def test_types_help_and_histograms(self):
        metrics = Metrics(
            lambda: {
                "edge_sends_live_total": 3,
                "edge_ready": 1,
                "control_epoch_profiles": 7,
                "unheard_of": 0,
            }
        )
        for seconds in (0.02, 0.3, 4.0):
            metrics.observe_completion("rulings", "ran", seconds)
        found = {family.name: family for family in text_string_to_metric_families(metrics.text())}
        rows = [
            ("vaneledge_edge_sends_live", "counter", HELP["edge_sends"], 3),
            ("vaneledge_edge_ready", "gauge", HELP["edge_ready"], 1),
            ("vaneledge_control_epoch_profiles", "gauge", HELP["control_epoch"], 7),
            ("vaneledge_unheard_of", "gauge", "unheard of", 0),
        ]
        for name, kind, help_text, value in rows:
            family = found[name]
            self.assertThat(
                (family.type, family.documentation, family.samples[0].value),
                Equals((kind, help_text, value)),
            )
        samples = {
            (row.name, row.labels.get("le", "")): row.value
            for row in found["vaneledge_live_seconds"].samples
            if row.labels.get("path") == "rulings"
        }
        self.assertThat(
            [
                samples[("vaneledge_live_seconds_bucket", le)]
                for le in ("0.025", "0.5", "5.0", "+Inf")
            ],
            Equals([1, 2, 3, 3]),
        )
