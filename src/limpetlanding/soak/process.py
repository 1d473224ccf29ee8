"""Process of the system, which the soak starts, signals and restarts."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import orjson

RESTART_DELAY_S = 0.3
"""Delay after which a process is restarted, as on the platform."""

GRACE_PERIOD_S = 6
"""Time from SIGTERM to SIGKILL; `process_settings` has the same value."""


class Process:
    """A program that is restarted whenever it ends.

    Parameters
    ----------
    name : str
        Name of the machine.
    role : str
        Program to run, ``front`` or ``worker``.
    settings : dict
        Content of the settings file.
    directory : Path
        Directory for the settings file and the output.
    """

    def __init__(
        self, name: str, role: str, settings: dict, directory: Path
    ) -> None:
        self.name = name
        self.role = role
        self.settings = settings
        self.path = directory / f'{name}.json'
        self.output_path = directory / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.output_start = 0
        self.terminated = False
        self.pause_count = 0
        self.was_paused = False
        self.exit_expected = False
        self.closing = False
        self.findings: list[str] = []
        self.delays: list[str] = []

    def write_settings(self) -> None:
        """Replace the settings file, as the platform does."""
        draft = self.path.with_suffix('.new')
        draft.write_bytes(orjson.dumps(self.settings))
        draft.rename(self.path)

    async def run(self) -> None:
        """Start the program, and restart it until the process is closed."""
        self.write_settings()
        while not self.closing:
            self.output_start = _size(self.output_path)
            with self.output_path.open('ab') as output:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    f'limpetlanding.platform.{self.role}',
                    stdout=output,
                    stderr=output,
                    env=os.environ | {'LIMPETLANDING_CONFIG': str(self.path)},
                )
            status = await self.process.wait()
            self._check_exit(status)
            await asyncio.sleep(RESTART_DELAY_S)

    def is_ready(self) -> bool:
        """Tell whether the program runs and has logged that it started."""
        if self.process is None or self.process.returncode is not None:
            return False
        return b'started' in self.output_path.read_bytes()[self.output_start :]

    def signal(self, number: int) -> None:
        """Send a signal if the program runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the program."""
        self.pause_count += 1
        # A suspended program cannot use its grace period.
        self.was_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the program once all pauses have ended."""
        self.pause_count -= 1
        if not self.pause_count:
            self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the program with SIGKILL."""
        self.exit_expected = True
        self.signal(signal.SIGKILL)

    async def stop(self) -> None:
        """End the program with SIGTERM, and kill it after the grace period."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        self.exit_expected = True
        self.terminated = True
        self.was_paused = self.pause_count > 0
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_PERIOD_S):
                await process.wait()
        except TimeoutError:
            if not self.closing and not self.was_paused:
                self.delays.append(f'{self.name}: still running after grace')
            process.kill()

    async def close(self) -> None:
        """End the program and do not restart it."""
        self.closing = True
        self.signal(signal.SIGCONT)
        self.kill()
        if self.process is not None:
            await self.process.wait()

    def _check_exit(self, status: int) -> None:
        if not self.exit_expected and not self.closing:
            self.findings.append(f'{self.name}: ended by itself ({status})')
        if self.terminated and status > 0:
            self.findings.append(f'{self.name}: status {status} after SIGTERM')
        self.exit_expected = False
        self.terminated = False


def _size(path: Path) -> int:
    return path.stat().st_size if path.exists() else 0
