"""Exit codes of the command line."""

OK = 0
FAILURE = 1
USAGE = 2
LOST_RACE = 3
UNKNOWN = 4
