"""Models of the protocols, for an explicit-state model checker.

Each model drives the decision classes that run in production. Its states are tuples of
their snapshots, so what is checked is the code itself and not a description of it. A
mutant breaks one guard, and the checker must find a counterexample to it.
"""
