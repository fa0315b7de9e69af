"""Unit tests of the compressed table content that peers exchange."""

import zlib

from sardinesaddle import manifest


def test_compressed_value_round_trips_and_its_size_is_bounded() -> None:
    data = b"some rows" * 1000
    assert manifest.decompress_value(manifest.compress_value(data)) == data
    assert manifest.decompress_value(b"") == b""
    assert manifest.decompress_value(b"junk") == b""
    assert manifest.decompress_value(manifest.compress_value(data)[:-3]) == b""
    oversized = zlib.compress(b"\0" * (manifest.MAX_VALUE_BYTES + 1))
    assert manifest.decompress_value(oversized) == b""
