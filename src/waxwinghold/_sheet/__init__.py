"""The sheet: model, validation, differences, watching and spreading."""
