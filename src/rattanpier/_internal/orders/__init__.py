"""Orders that tell engine workers which versions to serve."""
