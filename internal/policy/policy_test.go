package policy

import (
	"strings"
	"testing"
)

// A policy is refused at compile time if it has no boolean type, names what does not exist, or could take long.
func TestCompileFaults(t *testing.T) {
	for name, test := range map[string]struct {
		text       string
		attributes []string
		reason     string
	}{
		"sound":                      {`caller == "client" && country in ["se", "no"]`, []string{"country"}, ""},
		"an attribute by itself":     {`country`, []string{"country"}, "bool"},
		"a text":                     {`caller`, nil, "bool"},
		"does not parse":             {`caller ==`, nil, "unexpected"},
		"a name nobody has":          {`colour == "red"`, []string{"country"}, "unknown name colour"},
		"a name no route has yet":    {`colour == "red"`, nil, ""},
		"a number against a text":    {`method > 4`, []string{}, "mismatched types"},
		"too long":                   {`caller == "` + strings.Repeat("x", MaxExpressionBytes) + `"`, nil, "at most 1024 bytes"},
		"too many parts":             {strings.Repeat(`key=="" or `, 90) + `caller == "b"`, nil, "maximum allowed nodes"},
		"a loop":                     {`all(1..1000000, # > 0)`, []string{}, "no helper"},
		"a function that takes time": {`repeat(caller, 1000000) == ""`, []string{}, "unknown name repeat"},
		"a function no route has":    {`repeat(caller, 1000000) == ""`, nil, "no helper"},
	} {
		t.Run(name, func(t *testing.T) {
			_, fault := Compile(test.text, test.attributes)
			switch {
			case fault == nil && test.reason != "":
				t.Errorf("%s: was accepted", name)
			case fault != nil && (test.reason == "" || !strings.Contains(fault.Reason, test.reason) || fault.Line < 1 || fault.Column < 1):
				t.Errorf("%s: %+v", name, fault)
			}
		})
	}
}

// A policy allows a call only if its expression can be evaluated and is true.
func TestAllows(t *testing.T) {
	context := Context{Caller: "client", Zone: "a", Method: "POST", Path: "/shop/buy", Key: "ann", Attributes: map[string]any{"country": "se", "age": 20.0}}
	for text, want := range map[string]bool{
		`caller == "client"`:                         true,
		`caller != "client"`:                         false,
		`country in ["se", "no"] and age >= 18`:      true,
		`path startsWith "/shop" && method == "GET"`: false,
		`lower(key) matches "^a+n"`:                  true,
		`vip == true`:                                false, // this call does not have it
		`country > 4`:                                false, // a comparison that cannot be evaluated allows nothing
		`len(1..100000) > 0`:                         false, // nor does one that exceeds the memory budget
	} {
		t.Run(text, func(t *testing.T) {
			program, fault := Compile(text, []string{"country", "age", "vip"})
			if fault != nil {
				t.Errorf("%s: %+v", text, fault)
				return
			}
			for range 3 {
				if got := program.Allows(context); got != want {
					t.Errorf("%s: %v", text, got)
				}
			}
		})
	}
}

// An attribute cannot replace a field of the context.
func TestAttributesDoNotHideTheContext(t *testing.T) {
	program, fault := Compile(`caller == "client"`, []string{"caller"})
	if fault != nil {
		t.Fatal(fault)
	}
	if program.Allows(Context{Caller: "stranger", Attributes: map[string]any{"caller": "client"}}) {
		t.Error("an attribute replaced the caller")
	}
}
