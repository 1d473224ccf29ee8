"""Life cycle shared by processes, endpoints and peers."""
