"""HTTP servers for callers, and routing of their calls to backend servers."""
