"""Client accounts: who a caller is, and what the account may use."""
