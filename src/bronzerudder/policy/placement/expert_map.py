"""The expert map of a group of ranks: which expert each slot of each layer holds."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import numpy as np
import xxhash

from bronzerudder.policy.placement.errors import PlacementError, PlacementErrorKind

INDEX_DTYPE = np.dtype("<u2")
MAX_INDEX = 65_535


class ExpertMap(NamedTuple):
    """Which expert each slot of each layer holds, and on which rank each slot is.

    Parameters
    ----------
    version : int
        Increases with every map that a group adopts.
    expert_count : int
        Experts in each layer; each has at least one slot in every layer.
    experts : numpy.ndarray
        Shape ``(layers, slots)``, type `INDEX_DTYPE`, read-only.
    slot_ranks : numpy.ndarray
        Shape ``(slots,)``, type `INDEX_DTYPE`, read-only: the rank of each slot.

    Notes
    -----
    ``==`` on two maps is not defined, as they hold arrays; compare with `same_placement` or by
    `digest_map`.
    """

    version: int
    expert_count: int
    experts: np.ndarray
    slot_ranks: np.ndarray

    @property
    def layer_count(self) -> int:
        """Number of layers."""
        return self.experts.shape[0]

    @property
    def rank_count(self) -> int:
        """Number of ranks."""
        return int(self.slot_ranks.max()) + 1


class _EncodedMap(msgspec.Struct, frozen=True, array_like=True):
    version: int
    expert_count: int
    layer_count: int
    experts: bytes
    slot_ranks: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_EncodedMap)


def build_map(
    version: int, expert_count: int, experts: np.ndarray, slot_ranks: np.ndarray
) -> ExpertMap | PlacementError:
    """Validate a map and make its arrays read-only.

    Returns
    -------
    ExpertMap or PlacementError
        ``SHAPE`` when the arrays' shapes are inconsistent or an index is out of range,
        ``INCOMPLETE`` when an expert has no slot in some layer.
    """
    error = _find_shape_error(version, expert_count, experts, slot_ranks)
    if error is not None:
        return error
    missing = _find_missing_expert(expert_count, experts)
    if missing is not None:
        return missing
    return ExpertMap(version, expert_count, _freeze(experts), _freeze(slot_ranks))


def encode_map(expert_map: ExpertMap) -> bytes:
    """Encode a map; equal maps have equal encodings."""
    return _encoder.encode(
        _EncodedMap(
            expert_map.version,
            expert_map.expert_count,
            expert_map.layer_count,
            expert_map.experts.tobytes(),
            expert_map.slot_ranks.tobytes(),
        )
    )


def decode_map(data: bytes) -> ExpertMap | PlacementError:
    """Decode and validate a map."""
    try:
        encoded = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return PlacementError(PlacementErrorKind.MALFORMED, f"not an expert map: {error}")
    if len(encoded.slot_ranks) % INDEX_DTYPE.itemsize:
        return PlacementError(
            PlacementErrorKind.MALFORMED, f"slot ranks truncated: {len(encoded.slot_ranks)} bytes"
        )
    slot_ranks = np.frombuffer(encoded.slot_ranks, dtype=INDEX_DTYPE)
    if encoded.layer_count < 1 or not slot_ranks.size:
        return PlacementError(
            PlacementErrorKind.SHAPE, "a map needs at least one layer and one slot"
        )
    if len(encoded.experts) != encoded.layer_count * len(encoded.slot_ranks):
        reason = f"{len(encoded.experts)} bytes of experts do not fill {encoded.layer_count} layers"
        return PlacementError(PlacementErrorKind.MALFORMED, reason)
    experts = np.frombuffer(encoded.experts, dtype=INDEX_DTYPE)
    experts = experts.reshape(encoded.layer_count, slot_ranks.size)
    return build_map(encoded.version, encoded.expert_count, experts, slot_ranks)


def digest_map(expert_map: ExpertMap) -> str:
    """Hexadecimal digest of a map, including its version."""
    return xxhash.xxh3_128_hexdigest(encode_map(expert_map))


def same_placement(first: ExpertMap, second: ExpertMap) -> bool:
    """Whether two maps have the same placement, ignoring their versions."""
    return (
        first.expert_count == second.expert_count
        and np.array_equal(first.slot_ranks, second.slot_ranks)
        and np.array_equal(first.experts, second.experts)
    )


def _find_shape_error(
    version: int, expert_count: int, experts: np.ndarray, slot_ranks: np.ndarray
) -> PlacementError | None:
    if version < 0 or not 1 <= expert_count <= MAX_INDEX:
        return PlacementError(
            PlacementErrorKind.SHAPE, f"version {version} or {expert_count} experts out of range"
        )
    if experts.ndim != 2 or slot_ranks.ndim != 1 or not experts.size:
        return PlacementError(
            PlacementErrorKind.SHAPE,
            f"experts of shape {experts.shape}, ranks of shape {slot_ranks.shape}",
        )
    if experts.shape[1] != slot_ranks.shape[0]:
        reason = f"{experts.shape[1]} slots in a layer but {slot_ranks.shape[0]} slot ranks"
        return PlacementError(PlacementErrorKind.SHAPE, reason)
    if experts.min() < 0 or experts.max() >= expert_count:
        return PlacementError(
            PlacementErrorKind.SHAPE, f"an expert is not in 0 to {expert_count - 1}"
        )
    if slot_ranks.min() < 0 or slot_ranks.max() > MAX_INDEX:
        return PlacementError(PlacementErrorKind.SHAPE, f"a rank is not in 0 to {MAX_INDEX}")
    return None


def _find_missing_expert(expert_count: int, experts: np.ndarray) -> PlacementError | None:
    if expert_count > experts.shape[1]:
        reason = f"{experts.shape[1]} slots can't hold {expert_count} experts"
        return PlacementError(PlacementErrorKind.INCOMPLETE, reason)
    present = np.zeros((experts.shape[0], expert_count), dtype=bool)
    np.put_along_axis(present, experts.astype(np.intp), True, axis=1)
    if present.all():
        return None
    layer, expert = np.argwhere(~present)[0]
    reason = f"expert {expert} of layer {layer} has no slot"
    return PlacementError(PlacementErrorKind.INCOMPLETE, reason)


def _freeze(indices: np.ndarray) -> np.ndarray:
    frozen = np.array(indices, dtype=INDEX_DTYPE, order="C")
    frozen.setflags(write=False)
    return frozen
