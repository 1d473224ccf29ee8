"""Benchmark and demo: run the whole system on one machine under load."""
