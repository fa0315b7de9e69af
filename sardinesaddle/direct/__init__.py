"""The direct data path: entries call targets themselves, sidecars report and order.

Used where hosts have no disk and the platform's store can only be read. See
docs/design/platform.md.
"""
