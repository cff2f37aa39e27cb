"""Backend servers: announcements, admission of calls and connections."""
