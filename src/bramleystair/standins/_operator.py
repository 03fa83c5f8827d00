"""Changes that the demonstration makes as an operator does."""
