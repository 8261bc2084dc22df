// Package policy compiles and evaluates the authorization policies that operators write. A policy is a boolean
// expression over the context of a call. The call is made only if the expression is true. Policies are compiled
// to bytecode of package expr (github.com/expr-lang/expr). Evaluation is pure, has no loops and is bounded in memory.
//
// Package config compiles policies, and package plan evaluates them. The package has no state. A Program is
// immutable, so any number of goroutines may evaluate it concurrently.
package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/types"
	"github.com/expr-lang/expr/vm"
)

// Limits of a policy.
const (
	// MaxExpressionBytes is the length of the longest expression, in bytes.
	MaxExpressionBytes = 1024
	// maxNodes is the largest number of nodes of the parsed expression.
	maxNodes = 256
	// memoryBudget is the memory limit of one evaluation, in the units of vm.VM.MemoryBudget.
	memoryBudget = 1 << 12
)

// allowedFunctions lists the functions that a policy may call. Their cost is bounded by the size of their argument.
var allowedFunctions = []string{"len", "lower", "upper", "trim"}

// Context holds the properties of a call that a policy can refer to.
type Context struct {
	Caller     string         // authenticated calling service or client kind
	Zone       string         // zone of the caller; an expression refers to it as area
	Method     string         // HTTP method
	Path       string         // URL path
	Key        string         // key by which flags assign the call to a bucket
	Attributes map[string]any // values of the declared attributes that the call has, by name
}

// contextNames lists the names of the context's own fields in an expression. They are reserved: attributes must not
// have them.
var contextNames = []string{"caller", "area", "method", "path", "key"}

// IsReserved reports whether a name is reserved for a field of the context, so that no attribute may have it.
func IsReserved(name string) bool {
	return slices.Contains(contextNames, name)
}

// Fault is a compile error of a policy. A call of a function that is not allowed is reported at line 1, with its column
// counted from the start of the expression. So is an expression that is too long.
type Fault struct {
	Line   int    // line in the expression, from 1
	Column int    // column in the line, from 1
	Reason string // description of the error
}

// Program is a policy compiled for a set of attribute names.
type Program struct{ code *vm.Program }

// Compile checks the types of a policy and compiles it for the attribute names of a route. If attributes is nil, every
// unknown name is taken as an attribute, so that a policy can be checked before any route refers to it.
func Compile(expression string, attributes []string) (*Program, *Fault) {
	if len(expression) > MaxExpressionBytes {
		return nil, &Fault{1, MaxExpressionBytes + 1, fmt.Sprintf("expression has %d bytes; at most %d bytes are allowed",
			len(expression), MaxExpressionBytes)}
	}
	checker := &callChecker{}
	code, err := expr.Compile(expression, compileOptions(attributes, checker)...)
	if err != nil {
		return nil, faultOf(err)
	}
	if checker.disallowed != nil {
		location := checker.disallowed.Location()
		return nil, &Fault{1, location.From + 1, "call of a function that is not allowed in a policy; allowed are " +
			strings.Join(allowedFunctions, ", ")}
	}
	return &Program{code}, nil
}

// compileOptions returns the options of package expr for a set of attribute names.
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

// faultOf converts an error of package expr to a fault. An error without a position is reported at line 1, column 1.
func faultOf(err error) *Fault {
	var exprErr *file.Error
	if errors.As(err, &exprErr) {
		return &Fault{exprErr.Line, exprErr.Column + 1, exprErr.Message}
	}
	return &Fault{1, 1, err.Error()}
}

// callChecker finds calls of anything but allowedFunctions. Examples are a function that loops, and a name that is
// taken as an attribute.
type callChecker struct {
	disallowed ast.Node // last disallowed call found, nil for none
}

// Visit checks a node of the parsed expression. Package expr calls it for each node.
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

// Allows reports whether the policy allows a call. A policy fails closed: it does not allow the call if its expression
// cannot be evaluated, for example because an attribute is missing.
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
