"""A load balancer for expert-parallel model groups.

Two roles make up the system. An entry accepts calls over HTTP and routes them; a
sidecar runs beside each target and is the only process that gives it work. Every
decision is a plain class that takes events with the time and returns actions; the
entry, the sidecar, the tests, the benches and the model checker drive the same
classes.
"""

import typing

VERSION: typing.Final = "0.1.0"
