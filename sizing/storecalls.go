package sizing

// StoreCalls returns what each purpose takes of the store's budget.
func StoreCalls() []StoreCall {
	return nil
}
