"""Routes, and the choice of the backend server of a call."""
