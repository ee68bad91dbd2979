"""Stand-ins of the systems around waxwinghold; the product never imports them."""
