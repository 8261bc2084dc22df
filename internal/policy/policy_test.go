package policy

import (
	"strings"
	"testing"
)

// TestCompileRejectsInvalidPolicies checks that Compile rejects a policy that is not boolean, refers to an unknown name,
// or could be expensive to evaluate.
func TestCompileRejectsInvalidPolicies(t *testing.T) {
	for name, test := range map[string]struct {
		text       string
		attributes []string
		reason     string // part of the fault's reason; empty if the policy is valid
	}{
		"valid policy compiles":                        {`caller == "client" && country in ["se", "no"]`, []string{"country"}, ""},
		"attribute of any type as result is rejected":  {`country`, []string{"country"}, "bool"},
		"string as result is rejected":                 {`caller`, nil, "bool"},
		"syntax error is rejected":                     {`caller ==`, nil, "unexpected"},
		"unknown name is rejected":                     {`colour == "red"`, []string{"country"}, "unknown name colour"},
		"any name compiles without a route":            {`colour == "red"`, nil, ""},
		"string compared with a number is rejected":    {`method > 4`, []string{}, "mismatched types"},
		"expression that is too long is rejected":      {`caller == "` + strings.Repeat("x", MaxExpressionBytes) + `"`, nil, "at most 1024 bytes"},
		"expression with too many nodes is rejected":   {strings.Repeat(`key=="" or `, 90) + `caller == "b"`, nil, "maximum allowed nodes"},
		"loop is rejected":                             {`all(1..1000000, # > 0)`, []string{}, "function that is not allowed"},
		"unbounded function is rejected":               {`repeat(caller, 1000000) == ""`, []string{}, "unknown name repeat"},
		"unknown function without a route is rejected": {`repeat(caller, 1000000) == ""`, nil, "function that is not allowed"},
	} {
		t.Run(name, func(t *testing.T) {
			_, fault := Compile(test.text, test.attributes)
			switch {
			case fault == nil && test.reason != "":
				t.Errorf("Compile(%.60q) = no fault, want one with %q", test.text, test.reason)
			case fault != nil && (test.reason == "" || !strings.Contains(fault.Reason, test.reason) || fault.Line < 1 || fault.Column < 1):
				t.Errorf("Compile(%.60q) = fault %+v, want reason %q (empty for no fault) at line and column from 1",
					test.text, *fault, test.reason)
			}
		})
	}
}

// TestPolicyAllowsOnlyIfTrue checks that a policy allows a call only if its expression can be evaluated and is true.
func TestPolicyAllowsOnlyIfTrue(t *testing.T) {
	context := Context{Caller: "client", Zone: "a", Method: "POST", Path: "/shop/buy", Key: "ann", Attributes: map[string]any{"country": "se", "age": 20.0}}
	for text, want := range map[string]bool{
		`caller == "client"`:                         true,
		`caller != "client"`:                         false,
		`country in ["se", "no"] and age >= 18`:      true,
		`path startsWith "/shop" && method == "GET"`: false,
		`lower(key) matches "^a+n"`:                  true,
		`vip == true`:                                false, // the call has no such attribute
		`country > 4`:                                false, // the comparison cannot be evaluated
		`len(1..100000) > 0`:                         false, // the evaluation exceeds the memory budget
	} {
		t.Run(text, func(t *testing.T) {
			program, fault := Compile(text, []string{"country", "age", "vip"})
			if fault != nil {
				t.Errorf("Compile(%q) = fault %+v, want none", text, *fault)
				return
			}
			for range 3 {
				if got := program.Allows(context); got != want {
					t.Errorf("Allows() of %q = %t, want %t", text, got, want)
				}
			}
		})
	}
}

// TestAttributesDoNotHideContext checks that an attribute does not replace a field of the context.
func TestAttributesDoNotHideContext(t *testing.T) {
	program, fault := Compile(`caller == "client"`, []string{"caller"})
	if fault != nil {
		t.Fatalf("Compile() = fault %+v, want none", *fault)
	}
	if program.Allows(Context{Caller: "stranger", Attributes: map[string]any{"caller": "client"}}) {
		t.Error("Allows() with caller \"stranger\" and an attribute caller=client = true, want false")
	}
}
