"""Lets the tests import what they share."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
