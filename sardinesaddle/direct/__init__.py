"""The direct data path: entries call targets themselves.

Sidecars report the state of their targets to the entries, and the sidecar of rank 0
of a group orders switches of its expert map. Used where hosts have no disk and the
platform's store is read-only. See docs/design/platform.md.
"""
