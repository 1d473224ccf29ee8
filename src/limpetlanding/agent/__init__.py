"""Agent role: coordinator and executor on a worker."""
