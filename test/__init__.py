"""Tests; the runners read their cases from ``test-data/unit``."""
