package sizing

import (
	"fmt"
	"go/ast"
	"go/token"
	"math"
	"strconv"
)

// functions are the functions that formulas may call.
var functions = map[string]func(args []float64) (float64, error){
	"min": func(args []float64) (float64, error) { return applyBinary(args, math.Min) },
	"max": func(args []float64) (float64, error) { return applyBinary(args, math.Max) },
	// Formulas use exp(-k/n), the expected fraction of n items that k random choices
	// miss.
	"exp": func(args []float64) (float64, error) {
		if len(args) != 1 {
			return 0, fmt.Errorf("%w: exp takes one argument", ErrFormula)
		}
		return math.Exp(args[0]), nil
	},
}

func applyBinary(args []float64, f func(x, y float64) float64) (float64, error) {
	if len(args) != 2 {
		return 0, fmt.Errorf("%w: min and max take two arguments", ErrFormula)
	}
	return f(args[0], args[1]), nil
}

// evaluator evaluates an expression; values maps the names of constants to their
// values.
type evaluator struct{ values map[string]float64 }

func (e evaluator) expr(x ast.Expr) (float64, error) {
	switch x := x.(type) {
	case *ast.ParenExpr:
		return e.expr(x.X)
	case *ast.Ident:
		return e.name(x.Name)
	case *ast.BasicLit:
		return literal(x)
	case *ast.UnaryExpr:
		return e.unary(x)
	case *ast.BinaryExpr:
		return e.binary(x)
	case *ast.CallExpr:
		return e.call(x)
	default:
		return 0, fmt.Errorf("%w: %T is not allowed in a formula", ErrFormula, x)
	}
}

func literal(x *ast.BasicLit) (float64, error) {
	v, err := strconv.ParseFloat(x.Value, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrFormula, err)
	}
	return v, nil
}

func (e evaluator) name(name string) (float64, error) {
	v, ok := e.values[name]
	if !ok {
		return 0, fmt.Errorf("%w: constant %s is not defined", ErrFormula, name)
	}
	return v, nil
}

func (e evaluator) unary(x *ast.UnaryExpr) (float64, error) {
	v, err := e.expr(x.X)
	if err != nil || x.Op != token.SUB {
		return 0, fmt.Errorf("%w: unsupported operator %s", ErrFormula, x.Op)
	}
	return -v, nil
}

func (e evaluator) binary(x *ast.BinaryExpr) (float64, error) {
	left, err := e.expr(x.X)
	if err != nil {
		return 0, err
	}
	right, err := e.expr(x.Y)
	if err != nil {
		return 0, err
	}
	switch x.Op {
	case token.ADD:
		return left + right, nil
	case token.SUB:
		return left - right, nil
	case token.MUL:
		return left * right, nil
	case token.QUO:
		return left / right, nil
	default:
		return 0, fmt.Errorf("%w: unsupported operator %s", ErrFormula, x.Op)
	}
}

func (e evaluator) call(x *ast.CallExpr) (float64, error) {
	name, ok := x.Fun.(*ast.Ident)
	if !ok || functions[name.Name] == nil {
		return 0, fmt.Errorf("%w: unknown function", ErrFormula)
	}
	args := make([]float64, len(x.Args))
	for i, arg := range x.Args {
		v, err := e.expr(arg)
		if err != nil {
			return 0, err
		}
		args[i] = v
	}
	return functions[name.Name](args)
}
