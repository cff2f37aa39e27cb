"""What the metadata store holds, as one VM keeps it."""
