"""Exit codes of the command line."""

OK = 0
FAILURE = 1
USAGE = 2
LOST_RACE = 3  # another operator published first
UNKNOWN = 4  # the job may have run, or the contract may be published
