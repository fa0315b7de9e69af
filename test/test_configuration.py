"""Unit cases of published content between peers."""

import zlib

from sardinesaddle import manifest


def test_packed_value_comes_back_and_bounds_hold() -> None:
    data = b"some rows" * 1000
    assert manifest.decompress_value(manifest.compress_value(data)) == data
    assert manifest.decompress_value(b"") == b""
    assert manifest.decompress_value(b"junk") == b""
    assert manifest.decompress_value(manifest.compress_value(data)[:-3]) == b""
    bomb = zlib.compress(b"\0" * (manifest.MAX_VALUE_BYTES + 1))
    assert manifest.decompress_value(bomb) == b""
