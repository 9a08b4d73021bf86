package sizing

// Replacement compares alternatives for an item whose current mechanism exceeds a limit
// at the design size, or uses too much of it.
type Replacement struct {
	// Role and ItemDescription are the name of the item's role and its description.
	Role            string
	ItemDescription string
	Alternatives    []Alternative
}

// Alternative is one possible replacement of a mechanism.
type Alternative struct {
	Name string
	// Formula is the item's cost with this alternative.
	Formula Formula
	// Remark states its requirements or disadvantages.
	Remark string
	// Chosen is true for the alternative to be implemented.
	Chosen bool
}

// applyReplacements returns the roles with the formulas of the chosen alternatives in
// place of the items' own.
func applyReplacements(roles []Role, replacements []Replacement) []Role {
	var result []Role
	for _, role := range roles {
		items := make([]Item, len(role.Items))
		for i, item := range role.Items {
			items[i] = item.withReplacement(role.Name, replacements)
		}
		role.Items = items
		result = append(result, role)
	}
	return result
}

func (i Item) withReplacement(role string, replacements []Replacement) Item {
	for _, r := range replacements {
		if r.Role == role && r.ItemDescription == i.Description && r.quantity() == i.Quantity {
			i.Formula = r.chosen().Formula
		}
	}
	return i
}

// quantity returns the item's quantity: memory for items of the links role, bytes for
// all others.
func (r Replacement) quantity() Quantity {
	if r.Role == linksRole().Name {
		return Memory
	}
	return Bytes
}

func (r Replacement) chosen() Alternative {
	for _, a := range r.Alternatives {
		if a.Chosen {
			return a
		}
	}
	return Alternative{}
}
