"""Stand-ins for the systems around waxwinghold; the product never imports them."""
