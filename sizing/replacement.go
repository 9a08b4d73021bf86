package sizing

// Replacement weighs ways to carry an item that the mechanism of today does not,
// or carries at too high a part of the limit.
type Replacement struct {
	// Role and What name the item.
	Role            string
	ItemDescription string
	Alternatives    []Alternative
}

// Alternative is one of the ways weighed.
type Alternative struct {
	Name string
	// Formula is what the item costs in this way.
	Formula Formula
	// Remark says what it asks for or gives up.
	Remark string
	// Chosen is true for the one to be built.
	Chosen bool
}

// replaced returns the roles with the chosen ways in place of their items.
func replaced(roles []Role, replacements []Replacement) []Role {
	var after []Role
	for _, role := range roles {
		items := make([]Item, len(role.Items))
		for i, item := range role.Items {
			items[i] = item.replacedBy(role.Name, replacements)
		}
		role.Items = items
		after = append(after, role)
	}
	return after
}

func (i Item) replacedBy(role string, replacements []Replacement) Item {
	for _, r := range replacements {
		if r.Role == role && r.ItemDescription == i.Description && r.quantity() == i.Quantity {
			i.Formula = r.chosen().Formula
		}
	}
	return i
}

// quantity is that of the item: bytes, unless it is about links.
func (r Replacement) quantity() Quantity {
	if r.Role == linksRole().Name {
		return Memory
	}
	return Bytes
}

func (r Replacement) chosen() Alternative {
	for _, w := range r.Alternatives {
		if w.Chosen {
			return w
		}
	}
	return Alternative{}
}
