package calendar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/calendar"
	"github.com/sapphiresail/sapphiresail/internal/configuration"
)

// TestPeaksInBothCalendars checks the first and last days of peaks, a peak across the end of the year and the lookahead by one day.
func TestPeaksInBothCalendars(t *testing.T) {
	c := calendar.New([]configuration.Peak{
		{Name: "eid", Calendar: configuration.Hijri, Month: 10, Day: 1, Days: 3},
		{Name: "hogmanay", Calendar: configuration.Gregorian, Month: 12, Day: 30, Days: 4},
	})
	cases := []struct {
		day  string
		want string
	}{
		{"2025-03-29", ""}, {"2025-03-30", "eid"}, {"2025-04-01", "eid"}, {"2025-04-02", ""},
		{"2026-03-20", "eid"}, {"2026-03-30", ""},
		{"2026-12-29", ""}, {"2026-12-30", "hogmanay"}, {"2027-01-02", "hogmanay"}, {"2027-01-03", ""},
	}
	for _, x := range cases {
		day, err := time.Parse(time.DateOnly, x.day)
		assert.NilError(t, err)
		got := ""
		for _, p := range c.ActiveOn(day) {
			got += p.Name
		}
		assert.Equal(t, got, x.want, "%s", x.day)
	}
	dayBefore, err := time.Parse(time.DateOnly, "2026-03-19")
	assert.NilError(t, err)
	assert.Equal(t, len(c.ActiveWithin(dayBefore, 24*time.Hour)), 1)
}
