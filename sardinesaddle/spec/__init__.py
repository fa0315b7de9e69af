"""Small specifications of the protocols, for an explicit-state model checker.

Each specification drives the decision classes that the program runs. Its state is
a tuple of their snapshots, so what is checked is the code and not a description of
it. A mutant breaks one guard and must give a counterexample.
"""
