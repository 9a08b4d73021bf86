package sizing

import (
	"fmt"
	"go/ast"
	"go/parser"
	"sync"
)

// Formula is an arithmetic expression over names of constants in Go syntax: numbers,
// + - * / ( ) and the functions min, max and exp.
type Formula string

// Names returns the names of constants in the formula, without duplicates, in order of
// first use.
func (f Formula) Names() ([]string, error) {
	expr, err := f.parse()
	if err != nil {
		return nil, err
	}
	var names []string
	seen := make(map[string]bool)
	ast.Inspect(expr, func(n ast.Node) bool {
		id, ok := n.(*ast.Ident)
		if ok && !seen[id.Name] && functions[id.Name] == nil {
			seen[id.Name] = true
			names = append(names, id.Name)
		}
		return true
	})
	return names, nil
}

// parsed caches the syntax trees of formulas: there are few of them and each is
// evaluated many times.
var parsed sync.Map

func (f Formula) parse() (ast.Expr, error) {
	if expr, ok := parsed.Load(f); ok {
		return expr.(ast.Expr), nil
	}
	expr, err := parser.ParseExpr(string(f))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrFormula, f, err)
	}
	parsed.Store(f, expr)
	return expr, nil
}
