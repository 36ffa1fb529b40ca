"""The settings versions that a machine or an agent holds, and the calls that wait for the next one."""

from __future__ import annotations

import asyncio

from emulator.control.http_server import HttpRequest, HttpResponse, number

MOST_HOLD_MS = 60_000


def document(version: int, settings: str | None = None) -> bytes:
    """A settings document; without settings where there is none that was asked for."""
    if settings is None:
        return b'{"version":%d}' % version
    return b'{"version":%d,"settings":%s}' % (version, settings.encode())


class History:
    """Versions only ever come on top: what has been handed out is never followed by an older one."""

    def __init__(self) -> None:
        self.settings: dict[int, str] = {}  # by version, as JSON
        self.newest = 0
        self.changed = asyncio.Event()  # replaced with each version

    def add(self, version: int, settings: str) -> None:
        """One more version."""
        self.settings.setdefault(version, settings)
        if version > self.newest:
            self.newest = version
            changed, self.changed = self.changed, asyncio.Event()
            changed.set()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /v1/settings`, held where the query says so and there is nothing new."""
        if "before" in request.query:
            return HttpResponse(self._before(number(request, "before", 0)))
        known = number(request, "from", 0)
        hold = min(number(request, "hold_ms", 0), MOST_HOLD_MS) / 1000
        if self.newest <= known and hold:
            await self._wait(hold)
        if self.newest <= known:
            return HttpResponse(document(self.newest))
        return HttpResponse(document(self.newest, self.settings[self.newest]))

    def _before(self, version: int) -> bytes:
        older = max((held for held in self.settings if held < version), default=0)
        return document(older, self.settings.get(older))

    async def _wait(self, hold: float) -> None:
        try:
            async with asyncio.timeout(hold):
                await self.changed.wait()
        except TimeoutError:
            return
