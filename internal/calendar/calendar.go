// Package calendar computes the dates of yearly peaks in the Gregorian and the Hijri calendar.
package calendar

import (
	"time"

	"github.com/hablullah/go-hijri"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
)

// Calendar holds the configured peaks.
type Calendar struct {
	peaks []configuration.Peak
}

const day = 24 * time.Hour

// New returns the calendar of the peaks of a configuration.
func New(peaks []configuration.Peak) *Calendar { return &Calendar{peaks: peaks} }

// ActiveOn returns the peaks that are active on the day of t.
func (c *Calendar) ActiveOn(t time.Time) []configuration.Peak {
	var list []configuration.Peak
	for _, p := range c.peaks {
		if isActive(p, t) {
			list = append(list, p)
		}
	}
	return list
}

// ActiveWithin returns the peaks that are active on any day from t to t plus horizon.
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

// isActive reports whether the peak began on the day of t or on one of the Days-1 days before.
func isActive(p configuration.Peak, t time.Time) bool {
	for daysBack := range p.Days {
		if startsOn(p, t.Add(-time.Duration(daysBack)*day)) {
			return true
		}
	}
	return false
}

// startsOn reports whether the peak begins on the day of t; Hijri dates follow the Umm al-Qura calendar.
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
