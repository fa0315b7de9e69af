"""An engine that writes bytes that are no answer, as fast as its callers take them.

It runs in threads of the test's process, so that the event loop of the test goes on and
can measure how the entry serves others.
"""

import contextlib
import socket
import threading
import typing

BLOCK_BYTES: typing.Final = 128 * 1024


class FloodingEngine:
    """Writes ``beginning``, then ``repeated`` without end, on each connection.

    ``ID`` in the beginning stands for the attempt id. ``sent_bytes`` counts what was
    written on all connections.
    """

    def __init__(self, beginning: bytes, repeated: bytes) -> None:
        self._beginning = beginning
        self._block = repeated * max(BLOCK_BYTES // len(repeated), 1)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self.sent_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        """Serve each connection in a thread until the engine is stopped."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        """Read the head of a request and write until the connection is closed."""
        with sock, contextlib.suppress(OSError):
            received = b""
            while b"\r\n\r\n" not in received:
                data = sock.recv(BLOCK_BYTES)
                if not data:
                    return
                received += data
            lines = received.partition(b"\r\n\r\n")[0].split(b"\r\n")
            fields = dict(line.split(b": ", 1) for line in lines[1:])
            attempt_id = next(
                value for name, value in fields.items() if name.lower() == b"attempt-id"
            )
            sock.sendall(self._beginning.replace(b"ID", attempt_id))
            while True:
                sock.sendall(self._block)
                self.sent_bytes += len(self._block)

    def stop(self) -> None:
        """Stop listening; connections end with their callers'."""
        self._listener.close()
