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
	TextMost   = 1024 // bytes of its expression
	nodesMost  = 256
	memoryMost = 1 << 12 // what one evaluation may take, in the library's units
)

// helpers are the functions a policy may use; none loops over what it is given.
var helpers = []string{"len", "lower", "upper", "trim"}

// Context is what a policy sees of a call, besides the attributes that its route names.
type Context struct {
	Caller, Area, Method, Path, Key string
	Attributes                      map[string]any
}

// names are the context's own; a route's attribute of the same name would hide one.
var names = []string{"caller", "area", "method", "path", "key"}

// Reserved tells whether a name is the context's own.
func Reserved(name string) bool {
	return slices.Contains(names, name)
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
	if len(expression) > TextMost {
		return nil, &Fault{1, TextMost + 1, fmt.Sprintf("takes at most %d bytes", TextMost)}
	}
	surroundings := types.Map{}
	for _, name := range attributes {
		surroundings[name] = types.Any
	}
	for _, name := range names {
		surroundings[name] = types.String
	}
	bounds := []expr.Option{expr.Env(surroundings), expr.AsBool(), expr.WarnOnAny(), expr.MaxNodes(nodesMost), expr.DisableAllBuiltins()}
	for _, name := range helpers {
		bounds = append(bounds, expr.EnableBuiltin(name))
	}
	if attributes == nil {
		bounds = append(bounds, expr.AllowUndefinedVariables())
	}
	calls := &foreign{}
	bounds = append(bounds, expr.Patch(calls))
	code, err := expr.Compile(expression, bounds...)
	if err == nil && calls.found != nil {
		at := calls.found.Location()
		return nil, &Fault{1, at.From + 1, "calls what is no helper of a policy"}
	}
	if err != nil {
		fault := &Fault{1, 1, err.Error()}
		var placed *file.Error
		if errors.As(err, &placed) {
			fault = &Fault{placed.Line, placed.Column + 1, placed.Message}
		}
		return nil, fault
	}
	return &Program{code}, nil
}

// foreign finds calls of anything but helpers: what loops, and names that may stand for an
// attribute but are called like a function.
type foreign struct{ found ast.Node }

func (f *foreign) Visit(node *ast.Node) {
	switch one := (*node).(type) {
	case *ast.CallNode, *ast.PredicateNode:
		f.found = one
	case *ast.BuiltinNode:
		if !slices.Contains(helpers, one.Name) {
			f.found = one
		}
	}
}

// Holds tells whether a call may be planned. What cannot be evaluated does not hold: a policy
// that let through what it cannot judge would protect nothing.
func (p *Program) Holds(context Context) bool {
	surroundings := map[string]any{}
	for name, value := range context.Attributes {
		surroundings[name] = value
	}
	surroundings["caller"], surroundings["area"], surroundings["method"], surroundings["path"], surroundings["key"] = context.Caller, context.Area, context.Method, context.Path, context.Key
	machine := vm.VM{MemoryBudget: memoryMost}
	result, err := machine.Run(p.code, surroundings)
	holds, is := result.(bool)
	return err == nil && is && holds
}
