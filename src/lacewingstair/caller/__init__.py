"""HTTP server for callers and dispatch of their calls."""
