"""The estimate of a JSON text's parsed form is no less than what parsing it takes."""

import json
import random
import tracemalloc

from data_plane.json_size import parsed_json_bytes
from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

COUNT = 20_000


def random_value(rng, depth):
    kind = rng.randrange(6 if depth else 4)
    if kind == 0:
        return rng.choice([None, True, 1, 1 << 40, 1.5, -(10**30)])
    if kind < 4:
        return "".join(chr(rng.choice([97, 233, 0x4E2D, 0x1F600])) for _ in range(rng.randrange(9)))
    count = rng.randrange(5)
    if kind == 4:
        return [random_value(rng, depth - 1) for _ in range(count)]
    return {f"k{rng.randrange(999)}": random_value(rng, depth - 1) for _ in range(count)}


def parsing_peak_bytes(text):
    tracemalloc.start()
    try:
        json.loads(text.decode())
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class JsonSize(TestCase):
    def test_texts_whose_parsed_form_is_large(self):
        for part in (
            "{}",
            "[]",
            '"ab"',
            '"é"',
            '"中"',
            "1.5",
            "12345",
            '{"a":1}',
            '{"ab":"cd"}',
            '{"ab":["cd"]}',
            "[[[]]]",
            "null",
            '"\U0001f600"',
            '"\\ud83d\\ude00"',
        ):
            text = ("[" + ",".join([part] * COUNT) + "]").encode()
            peak = parsing_peak_bytes(text)
            self.assertThat(parsed_json_bytes(text), GreaterThan(peak), part)

    def test_long_texts_with_one_wide_character(self):
        for wide in ("", "é", "中", "\U0001f600", "\\u4e2d", "\\ud83d\\ude00", "\\u00e9"):
            for part in ("a" * 400_000, "é" * 200_000, "中" * 100_000):
                text = f'["{wide}{part}"]'.encode()
                peak = parsing_peak_bytes(text)
                self.assertThat(parsed_json_bytes(text), GreaterThan(peak), (wide, part[0]))

    def test_random_texts(self):
        rng = random.Random(5)
        for _ in range(40):
            text = json.dumps(
                [random_value(rng, 3) for _ in range(300)], ensure_ascii=rng.random() < 0.5
            ).encode()
            self.assertThat(parsed_json_bytes(text), GreaterThan(parsing_peak_bytes(text)))

    def test_separators_within_long_strings_count_for_little(self):
        """A lot's prompts are listed in header values with many commas and colons."""
        row = {"serverId": "a", "headers": {"Prompt-Prefix": "5c1e07a2:800," * 1500}}
        text = json.dumps({"requests": [row] * 200}).encode()
        self.assertThat(parsed_json_bytes(text), LessThan(3 * len(text)))
