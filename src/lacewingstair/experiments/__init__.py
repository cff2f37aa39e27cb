"""Models in virtual time that run the real decision modules."""
