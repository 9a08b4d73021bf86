package config

// ApplyChanges merges the changes into the current table, assigns home data
// centres and validates the result. The error is Conflicts or Problems and lists
// all of them, except for a change that is malformed.
func ApplyChanges(current Table, changes []Change) (Table, error) {
	next, err := Merge(current, changes)
	if err != nil {
		return Table{}, err
	}
	AssignHomes(current, &next)
	problems := append(CheckHomes(current, next), Validate(&next)...)
	if err := problems.Err(); err != nil {
		return Table{}, err
	}
	return next, nil
}
