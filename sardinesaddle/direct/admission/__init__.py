"""Decides whether a target may take a request now, and why not.

``sendconstraint`` is the interface that the target pool asks, ``admissionpart`` that of
a feature with constraints, state and messages, ``entryadmission`` the list of features
of an entry.
"""
