package config

// ApplyChanges returns the table that follows the current one by the changes, as it would
// be accepted: merged, with homes assigned, and valid. The error is Conflicts or
// Problems, with all of them.
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
