"""Provides an immutable map that compresses its entries, for tables of many similar rows."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator, Mapping
from typing import Generic, TypeVar

import msgspec

BUCKET_BYTES = 4_000
COMPRESSION_LEVEL = 1
PRESIZE_MIN_CHANGES = 64
"""Updates with more changes split the buckets first, so as not to overfill a few of them."""

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class PackedMap(Generic[_Key, _Value]):
    """An immutable map in compressed buckets.

    Uncompressed, a bucket has at most twice `BUCKET_BYTES` on average. A lookup unpacks one bucket;
    a change repacks the buckets that it affects and shares the others with the previous map.

    Parameters
    ----------
    pair_type : type
        Type of a pair of key and value, which `msgspec` can encode and decode.
    hash_key : callable
        Hash that assigns keys to buckets, whose number is a power of two.
    """

    def __init__(
        self, pair_type: type[tuple[_Key, _Value]], hash_key: Callable[[_Key], int]
    ) -> None:
        self._hash_key = hash_key
        self._decoder = msgspec.msgpack.Decoder(list[pair_type])
        self._buckets: list[bytes] = [b""]
        self._sizes: list[int] = [0]
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, key: _Key) -> bool:
        return self.get(key) is not None

    def __getitem__(self, key: _Key) -> _Value:
        value = self.get(key)
        if value is None:
            raise KeyError(key)
        return value

    def get(self, key: _Key) -> _Value | None:
        """Return the value of a key, or None."""
        for stored_key, value in self._unpack(self._bucket_index(key)):
            if stored_key == key:
                return value
        return None

    def items(self) -> Iterator[tuple[_Key, _Value]]:
        """Yield all pairs, bucket by bucket."""
        for index in range(len(self._buckets)):
            yield from self._unpack(index)

    def keys(self) -> Iterator[_Key]:
        """Yield all keys, bucket by bucket."""
        for key, _ in self.items():
            yield key

    def updated(self, changes: Mapping[_Key, _Value | None]) -> PackedMap[_Key, _Value]:
        """Return a map with the changed values; a key whose value is None is removed."""
        result = self._copy()
        if len(changes) > PRESIZE_MIN_CHANGES:
            result._grow(len(msgspec.msgpack.encode(list(changes.items()))))
        by_bucket: dict[int, dict[_Key, _Value | None]] = {}
        for key, value in changes.items():
            by_bucket.setdefault(result._bucket_index(key), {})[key] = value
        for index, bucket_changes in by_bucket.items():
            pairs = dict(result._unpack(index))
            result._count -= len(pairs)
            for key, value in bucket_changes.items():
                if value is None:
                    pairs.pop(key, None)
                    continue
                pairs[key] = value
            result._count += len(pairs)
            result._pack(index, pairs)
        result._grow(0)
        return result

    def _copy(self) -> PackedMap[_Key, _Value]:
        result = object.__new__(PackedMap)
        result._hash_key = self._hash_key
        result._decoder = self._decoder
        result._buckets = list(self._buckets)
        result._sizes = list(self._sizes)
        result._count = self._count
        return result

    def _grow(self, added_bytes: int) -> None:
        """Split buckets until there are enough for the current entries and ``added_bytes``."""
        while sum(self._sizes) + added_bytes > 2 * BUCKET_BYTES * len(self._buckets):
            self._split()

    def _split(self) -> None:
        """Double the number of buckets; one is unpacked at a time to limit memory."""
        count = len(self._buckets)
        self._buckets += [b""] * count
        self._sizes += [0] * count
        for index in range(count):
            pairs = self._unpack(index)
            low = {key: value for key, value in pairs if self._bucket_index(key) == index}
            high = {key: value for key, value in pairs if key not in low}
            self._pack(index, low)
            self._pack(index + count, high)

    def _bucket_index(self, key: _Key) -> int:
        return self._hash_key(key) % len(self._buckets)

    def _unpack(self, index: int) -> list[tuple[_Key, _Value]]:
        packed = self._buckets[index]
        return self._decoder.decode(zlib.decompress(packed)) if packed else []

    def _pack(self, index: int, pairs: Mapping[_Key, _Value]) -> None:
        data = msgspec.msgpack.encode(list(pairs.items())) if pairs else b""
        self._sizes[index] = len(data)
        self._buckets[index] = zlib.compress(data, COMPRESSION_LEVEL) if data else b""
