"""Small stand-ins for all external systems, for tests, the demo and the benchmarks.

Each stand-in records what it receives, so that checks count there and do not rely on
the records of the code under test.
"""
