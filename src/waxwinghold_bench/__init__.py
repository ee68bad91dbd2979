"""Load, experiment and demonstration tools; the product never imports them."""
