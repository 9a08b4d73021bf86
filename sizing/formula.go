package sizing

import (
	"fmt"
	"go/ast"
	"go/parser"
	"sync"
)

// Formula is an arithmetic expression over names of constants, written as a Go
// expression: + - * / ( ) and the functions of this package.
type Formula string

// Names returns the names that the formula uses, each once, in order.
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

// parsed keeps the expressions of formulas, which are few and read often.
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
