"""Command line of limpetlanding."""
