"""What operators look at."""
