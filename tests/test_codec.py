"""Tests of the encoding of messages to and from control hosts."""

import os
import unittest
import zlib

from sequoiaseam import _codec
from sequoiaseam._codec import COMPRESSION_MIN_BYTES, Codec
from sequoiaseam._control_messages import PeerPing, Relay
from sequoiaseam.errors import ErrorCode, SeamError


class CompressionTest(unittest.TestCase):
    """Guards against messages that change or grow by compression."""

    def setUp(self) -> None:
        self.codec = Codec((PeerPing, Relay))

    def test_messages_are_compressed_only_if_that_helps(self) -> None:
        cases = {
            "short": (PeerPing(1), False),
            "repetitive": (Relay("node", b"a" * 10_000), True),
            "random": (Relay("node", os.urandom(10_000)), False),
        }
        for name, (message, compressed) in cases.items():
            with self.subTest(name=name):
                encoded = self.codec.encode_compressed(message)
                self.assertEqual(encoded.compressed, compressed)
                decode = (
                    self.codec.decode_compressed
                    if compressed
                    else self.codec.decode
                )
                self.assertEqual(decode(encoded.content), message)

    def test_a_message_for_many_receivers_is_encoded_once(self) -> None:
        message = Relay("node", b"a" * COMPRESSION_MIN_BYTES)
        first = self.codec.encode_compressed(message)
        self.assertIs(self.codec.encode_compressed(message), first)
        other = Relay("node", b"b" * COMPRESSION_MIN_BYTES)
        self.assertNotEqual(self.codec.encode_compressed(other), first)

    def test_malformed_content_is_refused(self) -> None:
        content = zlib.compress(self.codec.encode(Relay("n", b"a" * 1000)))
        cases = {
            "empty": b"",
            "not compressed": self.codec.encode(PeerPing(1)),
            "truncated": content[:-5],
            "not a message": zlib.compress(b"\xff" * 1000),
        }
        for name, data in cases.items():
            with self.subTest(name=name):
                with self.assertRaises(SeamError) as caught:
                    self.codec.decode_compressed(data)
                self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)

    def test_content_may_not_grow_without_limit(self) -> None:
        size = _codec.DECOMPRESSED_MAX_BYTES + 1
        data = zlib.compress(b"\x00" * size)
        with self.assertRaises(SeamError) as caught:
            self.codec.decode_compressed(data)
        self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
