"""Route lookup, load balancing and load limits of calls."""
