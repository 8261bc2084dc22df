// Package policy compiles operators' policies to the bytecode of package expr, and evaluates them. A policy is an
// expression over a call's context that must be true for the call to be planned. Evaluation is pure, has no loops
// and is bounded in memory.
//
// Package config compiles policies, package plan evaluates them. The package owns no state; a Program never changes
// once made, so any number of goroutines may evaluate it.
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
	MaxExpressionBytes = 1024
	maxNodes           = 256     // nodes of the parsed expression
	memoryBudget       = 1 << 12 // of one evaluation, in package expr's units
)

// allowedFunctions are the functions that a policy may call; their cost is bounded by the size of their argument.
var allowedFunctions = []string{"len", "lower", "upper", "trim"}

// Context is what a policy can refer to in a call.
type Context struct {
	Caller     string
	Zone       string // a policy calls it area
	Method     string
	Path       string
	Key        string         // that flags bucket by
	Attributes map[string]any // by the names that the route gives them
}

// contextNames are the names of the context's own fields in an expression. Attributes must not have them.
var contextNames = []string{"caller", "area", "method", "path", "key"}

// IsReserved tells whether an attribute must not have a name, because a field of the context has it.
func IsReserved(name string) bool {
	return slices.Contains(contextNames, name)
}

// Fault is why a policy was refused, and where.
type Fault struct {
	Line, Column int // in the expression, from 1
	Reason       string
}

// Program is a policy compiled for a set of attributes.
type Program struct{ code *vm.Program }

// Compile checks a policy's types and compiles it for the names of a route's attributes. For nil attributes any name
// is taken for one: so a policy is checked that no route names yet.
func Compile(expression string, attributes []string) (*Program, *Fault) {
	if len(expression) > MaxExpressionBytes {
		return nil, &Fault{1, MaxExpressionBytes + 1, fmt.Sprintf("takes at most %d bytes", MaxExpressionBytes)}
	}
	checker := &callChecker{}
	code, err := expr.Compile(expression, compileOptions(attributes, checker)...)
	if err != nil {
		return nil, faultOf(err)
	}
	if checker.disallowed != nil {
		location := checker.disallowed.Location()
		return nil, &Fault{1, location.From + 1, "calls what is no helper of a policy"}
	}
	return &Program{code}, nil
}

// compileOptions are the options of package expr for a set of attributes.
func compileOptions(attributes []string, checker *callChecker) []expr.Option {
	environment := types.Map{}
	for _, name := range attributes {
		environment[name] = types.Any
	}
	for _, name := range contextNames {
		environment[name] = types.String
	}
	exprOptions := []expr.Option{
		expr.Env(environment),
		expr.AsBool(),
		expr.WarnOnAny(),
		expr.MaxNodes(maxNodes),
		expr.DisableAllBuiltins(),
	}
	for _, name := range allowedFunctions {
		exprOptions = append(exprOptions, expr.EnableBuiltin(name))
	}
	if attributes == nil {
		exprOptions = append(exprOptions, expr.AllowUndefinedVariables())
	}
	return append(exprOptions, expr.Patch(checker))
}

// faultOf gives the fault for an error of package expr.
func faultOf(err error) *Fault {
	var exprErr *file.Error
	if errors.As(err, &exprErr) {
		return &Fault{exprErr.Line, exprErr.Column + 1, exprErr.Message}
	}
	return &Fault{1, 1, err.Error()}
}

// callChecker finds the last call of anything but allowedFunctions: of a function that loops, or of a name that may
// be an attribute.
type callChecker struct{ disallowed ast.Node }

// Visit checks a node of the parsed expression. Package expr calls it for each.
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

// Allows tells whether a call may be planned. An expression that cannot be evaluated, as for a missing attribute,
// does not allow it: a policy fails closed.
func (p *Program) Allows(context Context) bool {
	environment := map[string]any{}
	for name, value := range context.Attributes {
		environment[name] = value
	}
	environment["caller"] = context.Caller
	environment["area"] = context.Zone
	environment["method"] = context.Method
	environment["path"] = context.Path
	environment["key"] = context.Key
	machine := vm.VM{MemoryBudget: memoryBudget}
	result, err := machine.Run(p.code, environment)
	allowed, isBool := result.(bool)
	return err == nil && isBool && allowed
}
