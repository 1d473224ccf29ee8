"""Runs the tasks of jobs under leases at the executors of a platform.

`limpetlanding.runs.front.Front` processes the jobs of its clients;
`limpetlanding.runs.worker.Worker` manages the runs at one executor.
`limpetlanding.runs.ports` defines the interfaces to executors and to the
store. Nothing is exported here, because a front and a worker each need only
part of the package.
"""
