package sizing

func (r *Renderer) crossCheck() (string, error) {
	t := table{header: []string{"a node at rest, one data centre", "parts", "whole", "parts of whole", "formula of the parts", "formula of the whole"}}
	for _, c := range CrossChecks() {
		parts, err := r.scopes[Design].Eval(c.Parts)
		if err != nil {
			return "", err
		}
		whole, err := r.scopes[Design].Eval(c.Whole)
		if err != nil {
			return "", err
		}
		t.add(c.Description, formatValue(parts, c.Unit), formatValue(whole, c.Unit), Fraction.Format(parts.Amount/whole.Amount), codeSpan(string(c.Parts)), codeSpan(string(c.Whole)))
	}
	return t.String(), nil
}
