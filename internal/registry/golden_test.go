package registry

import (
	"fmt"
	"strings"
	"testing"

	"meadowhinge/internal/goldenfile"
	"meadowhinge/schema"
)

// TestRulingsGolden compares each ruling's name, HTTP status and error code in the operator API with the golden file.
// It covers all rulings of the schema, so a new one fails the test until it is added to the file.
func TestRulingsGolden(t *testing.T) {
	var listed strings.Builder
	values := schema.Ruling(0).Descriptor().Values()
	for i := range values.Len() {
		status, response := newChangeResponse("id", &schema.ChangeOutcome{Ruling: schema.Ruling(values.Get(i).Number())})
		fmt.Fprintf(&listed, "%d: word=%q status=%d defect=%q\n",
			values.Get(i).Number(), response.Ruling, status, response.ErrorCode)
	}
	goldenfile.Compare(t, "rulings.txt", listed.String())
}
