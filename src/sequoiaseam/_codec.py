"""Encoding of typed messages as MessagePack.

An encoded message is an array of its type name and its fields. Only the
types that a codec was created with are decoded, so a peer can't make the
receiver instantiate any other class.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from sequoiaseam.errors import ErrorCode, SeamError

# Shorter messages don't become smaller.
COMPRESSION_MIN_BYTES: Final = 256
COMPRESSION_LEVEL: Final = 1
DECOMPRESSED_MAX_BYTES: Final = 72 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """Content of a message, and whether it is compressed."""

    content: bytes
    compressed: bool


class Codec:
    """Encode and decode messages of a fixed set of frozen data classes."""

    def __init__(self, message_types: Iterable[type[Any]]) -> None:
        self.types = tuple(message_types)
        self._decoders = {
            message_type.__name__: msgspec.msgpack.Decoder(message_type)
            for message_type in self.types
        }
        self._envelope_decoder = msgspec.msgpack.Decoder(
            tuple[str, msgspec.Raw]
        )
        self._encoder = msgspec.msgpack.Encoder()
        # The last message that was compressed. A change of the state goes
        # to many nodes in a row as the same object.
        self._last_compressed: tuple[object, EncodedMessage] | None = None

    def encode(self, message: object) -> bytes:
        """Encode a message; raise TypeError for an unregistered type."""
        name = type(message).__name__
        if name not in self._decoders:
            raise TypeError(f"{name} is not a message type")
        return self._encoder.encode((name, message))

    def encode_compressed(self, message: object) -> EncodedMessage:
        """Encode a message, compressed if that makes it smaller."""
        last = self._last_compressed
        if last is not None and last[0] is message:
            return last[1]
        content = self.encode(message)
        if len(content) < COMPRESSION_MIN_BYTES:
            return EncodedMessage(content, compressed=False)
        compressed = zlib.compress(content, COMPRESSION_LEVEL)
        if len(compressed) < len(content):
            encoded = EncodedMessage(compressed, compressed=True)
        else:
            encoded = EncodedMessage(content, compressed=False)
        self._last_compressed = (message, encoded)
        return encoded

    def decode_compressed(self, data: bytes) -> Any:
        """Decode a compressed message; raise BAD_REQUEST if malformed."""
        decompressor = zlib.decompressobj()
        try:
            content = decompressor.decompress(data, DECOMPRESSED_MAX_BYTES)
        except zlib.error as error:
            raise SeamError(
                ErrorCode.BAD_REQUEST, "malformed compressed message"
            ) from error
        if not decompressor.eof:
            raise SeamError(
                ErrorCode.BAD_REQUEST, "compressed message incomplete or large"
            )
        return self.decode(content)

    def decode(self, data: bytes) -> Any:
        """Decode a message; raise SeamError BAD_REQUEST if malformed."""
        try:
            name, body = self._envelope_decoder.decode(data)
            decoder = self._decoders.get(name)
            if decoder is None:
                raise SeamError(
                    ErrorCode.BAD_REQUEST,
                    "unknown message type",
                )
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise SeamError(
                ErrorCode.BAD_REQUEST,
                "malformed message",
            ) from error
