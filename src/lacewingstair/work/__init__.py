"""Expected work of calls and of upstreams that state the speed of their machine."""
