"""The settings versions that a machine or an agent holds, and the calls that wait for the next one."""

from __future__ import annotations

import asyncio

from emulator.control.http_server import HttpRequest, HttpResponse, query_int

MOST_HOLD_MS = 60_000


def document(version: int, settings: str | None = None) -> bytes:
    """A settings document; without settings where there is none that was asked for."""
    if settings is None:
        return b'{"version":%d}' % version
    return b'{"version":%d,"settings":%s}' % (version, settings.encode())


class SettingsHistory:
    """Versions only ever come on top: what has been handed out is never followed by an older one."""

    def __init__(self) -> None:
        self.settings_by_version: dict[int, str] = {}  # by version, as JSON
        self.newest_version = 0
        self.new_version_event = asyncio.Event()  # replaced with each version

    def add(self, version: int, settings: str) -> None:
        """One more version."""
        self.settings_by_version.setdefault(version, settings)
        if version > self.newest_version:
            self.newest_version = version
            changed, self.new_version_event = self.new_version_event, asyncio.Event()
            changed.set()

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Answer `GET /v1/settings`, held where the query says so and there is nothing new."""
        if "before" in request.query:
            return HttpResponse(self._before(query_int(request, "before", 0)))
        known = query_int(request, "from", 0)
        hold = min(query_int(request, "hold_ms", 0), MOST_HOLD_MS) / 1000
        if self.newest_version <= known and hold:
            await self._wait(hold)
        if self.newest_version <= known:
            return HttpResponse(document(self.newest_version))
        return HttpResponse(document(self.newest_version, self.settings_by_version[self.newest_version]))

    def _before(self, version: int) -> bytes:
        older = max((held for held in self.settings_by_version if held < version), default=0)
        return document(older, self.settings_by_version.get(older))

    async def _wait(self, hold: float) -> None:
        try:
            async with asyncio.timeout(hold):
                await self.new_version_event.wait()
        except TimeoutError:
            return
