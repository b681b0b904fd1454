package dailyreport

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestKey guards against records that are missing from the report of a day, because
// their keys have another form than the report looks for or cannot be parsed.
func TestKey(t *testing.T) {
	c := quicktest.New(t)
	key := Key{Host: "muc-a-1", Start: 7, Interval: time.Date(2026, 3, 9, 18, 2, 0, 0, time.UTC)}
	c.Assert(key.String(), quicktest.Equals, "daybook/2026-03-09/muc-a-1/7/18-02")
	parsed, err := ParseKey(key.String())
	c.Assert(err, quicktest.IsNil)
	c.Assert(parsed, quicktest.Equals, key)
	for _, object := range []string{
		"daybook/2026-03-09/muc-a-1/7", "daybook/2026-03-09//7/18-02", "daybook/2026-03-09/muc-a-1/x/18-02",
		"daybook/2026-03-32/muc-a-1/7/18-02", "daybook/2026-03-09/muc-a-1/7/25-02", "configuration/snapshot",
	} {
		_, err := ParseKey(object)
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%s", object))
	}
}
