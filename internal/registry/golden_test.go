package registry

import (
	"fmt"
	"strings"
	"testing"

	"meadowhinge/internal/goldenfile"
	"meadowhinge/schema"
)

// TestRulingsGolden compares how each ruling is shown to operators with the golden list: its word, its HTTP status and its error
// code. A ruling that is added to the schema shows here at once.
func TestRulingsGolden(t *testing.T) {
	var listed strings.Builder
	values := schema.Ruling(0).Descriptor().Values()
	for i := range values.Len() {
		status, answer := newChangeResponse("id", &schema.ChangeOutcome{Ruling: schema.Ruling(values.Get(i).Number())})
		fmt.Fprintf(&listed, "%d: word=%q status=%d defect=%q\n", values.Get(i).Number(), answer.Ruling, status, answer.ErrorCode)
	}
	goldenfile.Compare(t, "rulings.txt", listed.String())
}
