"""A load balancer for expert-parallel model groups.

The system has two roles. An entry accepts calls over HTTP and routes them. A sidecar
runs beside each target and is the only process that sends requests to it. Decisions are
made by plain classes that take events with the time and return actions, without I/O.
The entry, the sidecar, the tests, the benchmarks and the model checker all use these
classes.
"""

import typing

VERSION: typing.Final = "0.1.0"
