"""Tests of sardinesaddle; the cases of data-driven tests are in ``test-data/unit``."""
