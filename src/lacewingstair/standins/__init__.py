"""Stand-ins for the log service and backend servers, for demo, tests and bench."""
