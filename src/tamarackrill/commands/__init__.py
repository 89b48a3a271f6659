"""What operators change."""
