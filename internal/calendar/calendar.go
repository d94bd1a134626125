// Package calendar turns yearly peaks of named calendars into dates.
package calendar

import (
	"time"

	"github.com/hablullah/go-hijri"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
)

// Calendar knows the configured peaks.
type Calendar struct {
	peaks []configuration.Peak
}

const day = 24 * time.Hour

// New returns the calendar of the peaks of a configuration.
func New(peaks []configuration.Peak) *Calendar { return &Calendar{peaks: peaks} }

// On returns the peaks that the day of t lies in.
func (c *Calendar) ActiveOn(t time.Time) []configuration.Peak {
	var list []configuration.Peak
	for _, p := range c.peaks {
		if isActive(p, t) {
			list = append(list, p)
		}
	}
	return list
}

// Within returns the peaks that begin or last at some day from t to t plus ahead.
func (c *Calendar) ActiveWithin(t time.Time, horizon time.Duration) []configuration.Peak {
	var list []configuration.Peak
	for _, p := range c.peaks {
		for offset := time.Duration(0); offset <= horizon; offset += day {
			if isActive(p, t.Add(offset)) {
				list = append(list, p)
				break
			}
		}
	}
	return list
}

// within reports whether one of the days before t, as many as the peak lasts, is its first day.
func isActive(p configuration.Peak, t time.Time) bool {
	for daysBack := range p.Days {
		if startsOn(p, t.Add(-time.Duration(daysBack)*day)) {
			return true
		}
	}
	return false
}

// starts reports whether the peak begins on the day of t.
func startsOn(p configuration.Peak, t time.Time) bool {
	if p.Calendar == configuration.Gregorian {
		return int(t.Month()) == p.Month && t.Day() == p.Day
	}
	d, err := hijri.CreateUmmAlQuraDate(t)
	if err != nil {
		return false
	}
	return int(d.Month) == p.Month && int(d.Day) == p.Day
}
