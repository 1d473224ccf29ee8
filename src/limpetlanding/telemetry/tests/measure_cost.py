"""Prints the time per log line, metric update and span in microseconds."""

import time

from loguru import logger

from limpetlanding.telemetry.logs import configure_logs, job_logger
from limpetlanding.telemetry.metrics import Metrics
from limpetlanding.telemetry.traces import record_span, span

ROUNDS = 20_000


def measure(name, action):
    best = min(_mean_us(action) for _ in range(5))
    print(f'{name}: {best:.2f} us')


def _mean_us(action):
    started = time.perf_counter()
    for _ in range(ROUNDS):
        action()
    return (time.perf_counter() - started) / ROUNDS * 1e6


def write_line():
    job_logger('r-1', 'a' * 38, 'run', 'agent-1').debug('task {} ended', 1)


def open_span():
    with span('run', '', task='a/0'):
        pass


def run_entry_telemetry():
    """Write the spans and log lines of an entry for a one-task job."""
    with span('request', '', request_id='r-1', tasks=1):
        with span('admit', '') as current_span:
            current_span.set_attributes(reason='')
        job_logger('r-1', 'a' * 38, 'admit').opt(lazy=True).debug('{}', list)
    job_logger('r-1', 'a' * 38, 'answer').debug('{} {}', 'complete', '')


def run_agent_telemetry():
    """Write the spans and log lines of an agent that also coordinates."""
    with span('submit', '', job_id='a') as current_span:
        job_logger('r-1', 'a' * 38, 'coordinate').debug('accepted: {}', 1)
        current_span.set_attributes(outcome='complete')
    job_logger('r-1', 'a' * 38, 'place', 'agent-1').debug('sent {}', 1)
    log = job_logger('r-1', 'a' * 38, 'run', 'endpoint-1')
    log.debug('started {}', 1)
    record_span('queue', '', 0.1, agent='agent-1', task='a/0')
    with span('run', '', agent='agent-1', task='a/0') as current_span:
        current_span.set_attributes(state='done')
    with span('call', '', endpoint='endpoint-1'):
        pass
    log.debug('ended {}', 1)
    job_logger('r-1', 'a' * 38, 'coordinate').debug('ended: {}', 1)


def main():
    configure_logs('INFO', lambda _: None)
    measure('line below the level', write_line)
    measure('one-task job at the entry, INFO', run_entry_telemetry)
    measure('one-task job at the agent, INFO', run_agent_telemetry)
    configure_logs('DEBUG', lambda _: None)
    measure('line written', write_line)
    measure('one-task job at the entry, DEBUG', run_entry_telemetry)
    measure('one-task job at the agent, DEBUG', run_agent_telemetry)
    logger.remove()
    metrics = Metrics()
    counter = metrics.counter('jobs_total', 'Jobs.')
    histogram = metrics.histogram('run_seconds', 'Run time.')
    measure('counter', lambda: counter.inc({'result': 'complete'}))
    measure('histogram', lambda: histogram.observe({}, 0.1))
    measure('span while off', open_span)


if __name__ == '__main__':
    main()
