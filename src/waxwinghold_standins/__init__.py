"""Stand-ins for the systems that waxwinghold talks to; the product never imports it."""
