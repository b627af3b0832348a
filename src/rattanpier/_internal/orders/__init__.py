"""Orders to engines: which versions each worker is to serve."""
