"""Marks the tests that KNOWN-RED.txt lists as expected failures.

A listed test that passes fails the run, so that its entry is taken out.
"""

import pathlib
import re
import sys

import pytest

# Hypothesis' plugin imports this when a test has failed. Python 3.11.6 may fail to
# rewrite it ("AST constructor recursion depth mismatch"), and the report of the failure
# is lost. None makes the import an ImportError, which the plugin passes over.
sys.modules["hypothesis.extra._patching"] = None  # type: ignore[assignment]

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail, with the listed reason."""
    listed = re.findall(r"^- test (\S+): (.*)$", KNOWN_RED.read_text(), re.MULTILINE)
    reasons = dict(listed)
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))
