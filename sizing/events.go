package sizing

// Events returns the events that the fleet lives through.
func Events() []Event {
	return nil
}
