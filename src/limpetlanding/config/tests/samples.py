"""Contracts and records for tests."""

from limpetlanding.contracts import Record, hash_key


def contract(customer, at_once=8):
    return {
        'customer': customer,
        'keys': [hash_key(customer)],
        'limits': {'tasks_at_once': at_once, 'tasks_per_second': 100},
        'answer_within_ms': 500,
        'may_refuse': ['overload'],
        'kinds': ['*'],
        'peak_share': 0.5,
        'max_task_size': 10,
    }


def record(customer, version, content=None, rules=1):
    content = content or contract(customer)
    return Record(
        record_id=f'{customer}-{version}',
        customer=customer,
        base_version=version - 1,
        version=version,
        rules=rules,
        contract=content,
        author='ana',
    )


def entry_of(customer, version, content=None):
    """Return offset and record, as `ConfigStore.put` takes them."""
    return version, record(customer, version, content)
