package sizing

import (
	"fmt"
	"go/ast"
	"go/parser"
)

// Formula is an arithmetic expression over names of constants, written as a Go
// expression: + - * / ( ) min max.
type Formula string

// Names returns the names that the formula uses, each once, in order.
func (f Formula) Names() ([]string, error) {
	expr, err := parser.ParseExpr(string(f))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrFormula, f, err)
	}
	var names []string
	seen := make(map[string]bool)
	ast.Inspect(expr, func(n ast.Node) bool {
		id, ok := n.(*ast.Ident)
		if ok && !seen[id.Name] && !isFunction(id.Name) {
			seen[id.Name] = true
			names = append(names, id.Name)
		}
		return true
	})
	return names, nil
}

func isFunction(name string) bool {
	return name == "min" || name == "max"
}
