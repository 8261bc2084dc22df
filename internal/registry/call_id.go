package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"meadowhinge/schema"
)

// callIDPrefix and callIDDigits make up the ids of calls that came without one. 32 hexadecimal digits are 128 bits, so
// that two calls never have one id by chance.
const (
	callIDPrefix = "call-"
	callIDDigits = 32
)

// CallID returns the id of a call that came without one, from the content of its change. All copies of a call have one
// id, whichever registry they reach, and the store decides an id only once. So a copy that arrives after the call was
// refused gets the same refusal, even if the call would be valid by then.
func CallID(change *schema.Change) string { return callIDPrefix + changeHash(change)[:callIDDigits] }

// changeHash returns a hash of everything in a change except its id, including the operator's source text of the items.
// The hash of a change must be the same in every release: CallID depends on it, and the registries of a core may be of
// two releases.
func changeHash(change *schema.Change) string {
	hasher := sha256.New() // Write never returns an error
	for _, item := range change.Items {
		_, _ = fmt.Fprintf(hasher, "%q %q %d %t %q %q\n",
			item.Kind, item.Name, item.OperatorVersion, item.Deleted, item.Body, item.OperatorBody)
	}
	for _, expected := range change.Expected {
		_, _ = fmt.Fprintf(hasher, "%q %q %d\n", expected.Kind, expected.Name, expected.Sequence)
	}
	_, _ = fmt.Fprint(hasher, change.ByOperatorVersion)
	return hex.EncodeToString(hasher.Sum(nil))
}
