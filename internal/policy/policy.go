// Package policy compiles operators' policies to bytecode, through a library, and evaluates
// them. A policy is an expression over a call's context that must be true for the call to be
// planned. Evaluation is pure, has no loops and is bounded in memory.
package policy

import (
	"errors"
	"fmt"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/types"
	"github.com/expr-lang/expr/vm"
)

// Bounds on a policy.
const (
	MaxExpressionBytes = 1024 // bytes of its expression
	maxNodes           = 256
	memoryBudget       = 1 << 12 // what one evaluation may take, in the library's units
)

// allowedFunctions are the functions a policy may use; none loops over what it is given.
var allowedFunctions = []string{"len", "lower", "upper", "trim"}

// Context is what a policy sees of a call, besides the attributes that its route names.
type Context struct {
	Caller, Zone, Method, Path, Key string
	Attributes                      map[string]any
}

// contextNames are the context's own; a route's attribute of the same name would hide one.
var contextNames = []string{"caller", "area", "method", "path", "key"}

// IsReserved tells whether a name is the context's own.
func IsReserved(name string) bool {
	return slices.Contains(contextNames, name)
}

// Fault is why a policy was refused, and where.
type Fault struct {
	Line, Column int
	Reason       string
}

// Program is a policy, compiled for a route's attributes.
type Program struct{ code *vm.Program }

// Compile checks a policy's types and compiles it. With no attributes given (nil), any name may
// stand for one: that is how a policy is checked which no route names yet.
func Compile(expression string, attributes []string) (*Program, *Fault) {
	if len(expression) > MaxExpressionBytes {
		return nil, &Fault{1, MaxExpressionBytes + 1, fmt.Sprintf("takes at most %d bytes", MaxExpressionBytes)}
	}
	environment := types.Map{}
	for _, name := range attributes {
		environment[name] = types.Any
	}
	for _, name := range contextNames {
		environment[name] = types.String
	}
	exprOptions := []expr.Option{expr.Env(environment), expr.AsBool(), expr.WarnOnAny(), expr.MaxNodes(maxNodes), expr.DisableAllBuiltins()}
	for _, name := range allowedFunctions {
		exprOptions = append(exprOptions, expr.EnableBuiltin(name))
	}
	if attributes == nil {
		exprOptions = append(exprOptions, expr.AllowUndefinedVariables())
	}
	checker := &callChecker{}
	exprOptions = append(exprOptions, expr.Patch(checker))
	code, err := expr.Compile(expression, exprOptions...)
	if err == nil && checker.disallowed != nil {
		at := checker.disallowed.Location()
		return nil, &Fault{1, at.From + 1, "calls what is no helper of a policy"}
	}
	if err != nil {
		fault := &Fault{1, 1, err.Error()}
		var exprErr *file.Error
		if errors.As(err, &exprErr) {
			fault = &Fault{exprErr.Line, exprErr.Column + 1, exprErr.Message}
		}
		return nil, fault
	}
	return &Program{code}, nil
}

// callChecker finds calls of anything but helpers: what loops, and names that may stand for an
// attribute but are called like a function.
type callChecker struct{ disallowed ast.Node }

func (c *callChecker) Visit(node *ast.Node) {
	switch call := (*node).(type) {
	case *ast.CallNode, *ast.PredicateNode:
		c.disallowed = call
	case *ast.BuiltinNode:
		if !slices.Contains(allowedFunctions, call.Name) {
			c.disallowed = call
		}
	}
}

// Allows tells whether a call may be planned. What cannot be evaluated does not hold: a policy
// that let through what it cannot judge would protect nothing.
func (p *Program) Allows(context Context) bool {
	environment := map[string]any{}
	for name, value := range context.Attributes {
		environment[name] = value
	}
	environment["caller"], environment["area"], environment["method"], environment["path"], environment["key"] = context.Caller, context.Zone, context.Method, context.Path, context.Key
	machine := vm.VM{MemoryBudget: memoryBudget}
	result, err := machine.Run(p.code, environment)
	allowed, isBool := result.(bool)
	return err == nil && isBool && allowed
}
