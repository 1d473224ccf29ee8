"""Faults, each with the sentence that names it in the feature files."""

import asyncio
import re
from dataclasses import replace

FAULTS = []


def fault(sentence):
    """Register a function as the fault that matches `sentence`.

    The groups of the pattern become its arguments.
    """

    def register(function):
        FAULTS.append((re.compile(sentence), function))
        return function

    return register


def find_fault(sentence):
    """Return the function of the fault and its arguments.

    Raises
    ------
    LookupError
        If no fault or several faults have this sentence.
    """
    matches = [(f, p.fullmatch(sentence)) for p, f in FAULTS]
    found = [(f, m.groups()) for f, m in matches if m]
    if len(found) != 1:
        raise LookupError(f'{len(found)} faults match {sentence!r}')
    return found[0]


PROCESS_NAME = r'((?:entry|agent|endpoint)-\d)'
DURATION = r'for (\d+) s'


@fault(f'{PROCESS_NAME} dies')
async def kill(system, callers, name):
    system.kill(name)


@fault(f'{PROCESS_NAME} dies and returns after (\\d+) s')
async def restart(system, callers, name, seconds):
    # If the fault occurs twice, the process may still be down.
    if name in system.roles or name in system.endpoints:
        system.kill(name)
        await asyncio.sleep(int(seconds))
        system.start(name)


@fault(f'{PROCESS_NAME} stops as planned')
async def stop(system, callers, name):
    await system.stop(name)


@fault(f'{PROCESS_NAME} is paused {DURATION}')
async def pause(system, callers, name, seconds):
    system.pause(name)
    await asyncio.sleep(int(seconds))
    system.resume(name)


@fault(f'(endpoint-\\d) is (\\d+) times slower {DURATION}')
async def slow(system, callers, name, factor, seconds):
    endpoint = system.endpoints[name]
    endpoint.faults.slow_factor = int(factor)
    await asyncio.sleep(int(seconds))
    endpoint.faults.slow_factor = 1


@fault(f'(endpoint-\\d) fails everything {DURATION}')
async def fail_everything(system, callers, name, seconds):
    endpoint = system.endpoints[name]
    endpoint.faults.fail_all = True
    await asyncio.sleep(int(seconds))
    endpoint.faults.fail_all = False


@fault(r'the announcements of (endpoint-\d) are lost for (\d+) s')
async def drop_announcements(system, callers, name, seconds):
    """Let the lease expire while the endpoint continues to work."""
    endpoint = system.endpoints[name]
    announce = endpoint._announce
    endpoint._announce = _discard
    await asyncio.sleep(int(seconds))
    endpoint._announce = announce


async def _discard(*_):
    pass


@fault(r'a burst of (\d+) jobs arrives')
async def burst(system, callers, number):
    for _ in range(int(number)):
        callers.offer([callers.task() for _ in range(2)])


@fault(r'(\d+) stragglers of (\d+) s arrive')
async def stragglers(system, callers, number, seconds):
    for _ in range(int(number)):
        callers.offer([callers.task(int(seconds) * 1000, run_ms=100)])


@fault(r'(\d+) jobs with wrong declarations arrive')
async def wrong_declarations(system, callers, number):
    for index in range(int(number)):
        work_ms, declared = ((20, 4000), (2000, 10))[index % 2]
        task = callers.task(work_ms, run_ms=declared, size=1 + index % 100)
        callers.offer([task, callers.task()])


@fault(r'(\d+) jobs that can never run arrive')
async def impossible_jobs(system, callers, number):
    for index in range(int(number)):
        impossible_field = ({'kind': 'unheard-of'}, {'size': 101})[index % 2]
        callers.offer([callers.task(), callers.task(**impossible_field)])


@fault('every open job is cancelled')
async def cancel(system, callers):
    await callers.cancel_all()


@fault(f'the log is down {DURATION}')
async def log_down(system, callers, seconds):
    await _log_fault(system, int(seconds), outage=True)


@fault(f'the log answers after 400 ms {DURATION}')
async def log_slow(system, callers, seconds):
    await _log_fault(system, int(seconds), slow_ms=400)


@fault(f'the log loses the answers to writes {DURATION}')
async def log_loses(system, callers, seconds):
    await _log_fault(system, int(seconds), lose_answers=True)


async def _log_fault(system, seconds, **faults):
    log = system.log
    log.faults = replace(log.faults, **faults)
    await asyncio.sleep(seconds)
    log.faults = replace(
        log.faults, outage=False, slow_ms=0, lose_answers=False
    )


@fault(r'(\w+) publishes a limit of (\d+) tasks')
async def publish(system, callers, author, at_once):
    await system.publish(author, int(at_once))


@fault('two operators race')
async def race(system, callers):
    base = max(x.version for x in system.published if x.customer == 'offcut')
    results = await asyncio.gather(
        system.publish('ana', 90 + base, base),
        system.publish('bo', 70 + base, base),
    )
    assert sorted(x.result for x in results) == ['accepted', 'lost']


@fault('connections between (entry|agent) and (entry|agent) go silent')
async def silence(system, callers, one, other):
    for connection in system.network.connections_between(one, other):
        connection.silence()


@fault('connections between agent and endpoint go silent')
async def silence_endpoints(system, callers):
    for endpoint in system.endpoints.values():
        endpoint.silenced |= endpoint.connections


@fault('connections between entry and log go silent')
async def silence_log(system, callers):
    log = system.log
    log.silenced.update(log.transports)
