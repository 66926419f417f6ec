"""HTTP interface of a stand-in rank."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.abc
import msgspec

from bronzerudder.backend_server.rank_api import RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineError
from bronzerudder.backend_server.rank_http import OrderDocument
from bronzerudder.settings import SettingsError, decode_document
from bronzerudder.standin.rank.maps import RankMaps
from bronzerudder.standin.rank.stepper import Stepper
from bronzerudder.web import read_body, send_json

MAX_BODY_BYTES = 4_000_000


class RankApp:
    """Serves orders for expert map changes, and injected faults.

    In addition to the orders of `RankEngine` it serves ``/rank/grant``, for comparison with engines
    that run only as many steps as their agent has granted.

    Parameters
    ----------
    maps : RankMaps
        Expert maps and holds of the rank.
    stepper : Stepper
        Runs the steps of the rank.
    stage_time_s : float
        Time to load the weights of a map version, in seconds.
    tasks : TaskGroup
        Runs the loading in the background.
    """

    def __init__(
        self,
        maps: RankMaps,
        stepper: Stepper,
        stage_time_s: float,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._maps = maps
        self._stepper = stepper
        self._stage_time_s = stage_time_s
        self._tasks = tasks
        self._staging: set[int] = set()
        self._orders = {
            "/rank/read": self._read,
            "/rank/stage": self._stage,
            "/rank/hold": self._hold,
            "/rank/reset": self._reset,
            "/rank/activate": self._activate,
            "/rank/release": self._release,
            "/rank/grant": self._grant,
        }

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve one request."""
        body = await read_body(receive, MAX_BODY_BYTES)
        if not isinstance(body, bytes):
            return
        if scope["path"] == "/faults":
            self._stepper.stall(float(msgspec.json.decode(body)["stall_s"]))
            await send_json(send, 200, {})
            return
        handler = self._orders.get(scope["path"])
        order = decode_document(body, OrderDocument)
        if handler is None or isinstance(order, SettingsError):
            await send_json(send, 400, {"kind": "invalid", "reason": str(order)})
            return
        result = handler(order)
        if isinstance(result, RankEngineError):
            await send_json(send, 409, {"kind": result.kind.value, "reason": result.reason})
            return
        await send_json(send, 200, result._asdict())

    def _read(self, order: OrderDocument) -> RankStatus | RankEngineError:
        return self._maps.read(order["term"])

    def _stage(self, order: OrderDocument) -> RankStatus | RankEngineError:
        result = self._maps.read(order["term"])
        version = order["version"]
        if isinstance(result, RankStatus) and version not in self._staging:
            self._staging.add(version)
            self._tasks.start_soon(self._load, version)
        return result

    def _hold(self, order: OrderDocument) -> RankStatus | RankEngineError:
        return self._maps.hold(order["term"], order["version"], order["step"])

    def _reset(self, order: OrderDocument) -> RankStatus | RankEngineError:
        return self._maps.reset(order["term"], order["version"], order["step"])

    def _activate(self, order: OrderDocument) -> RankStatus | RankEngineError:
        return self._maps.activate(order["term"], order["version"])

    def _release(self, order: OrderDocument) -> RankStatus | RankEngineError:
        return self._maps.release(order["term"], order["version"])

    def _grant(self, order: OrderDocument) -> RankStatus | RankEngineError:
        self._maps.grant(order["step"])
        return self._maps.status

    async def _load(self, version: int) -> None:
        await anyio.sleep(self._stage_time_s)
        self._maps.finish_staging(version)
        self._staging.discard(version)
