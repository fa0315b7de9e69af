"""Benches that print figures, some of them with bounds, on fixed seeds.

A bench that counts work or model time prints the same figures on every run, and its
bounds come from the stated objectives. Wall-clock times are reported as ratios within
one run.
"""
