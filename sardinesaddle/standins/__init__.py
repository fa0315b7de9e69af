"""Small stand-ins for everything outside the system.

They serve tests, the demo and the benches. Each one records what reached it, so
that a check counts at the stand-in and not in our own code.
"""
