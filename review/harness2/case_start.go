package main

import (
	"fmt"
	"time"
)

// Disruption and bounds of the case: one process that serves control is killed soon after the first start of the system.
const (
	startKillAt = 250 * time.Millisecond
	startWait   = 45 * time.Second
)

// playStart checks that a valid config is acknowledged in the end, so that the system serves anything.
func playStart(s *stage) ([]string, error) {
	killed := s.system.keepers[0]
	time.Sleep(startKillAt)
	if s.trouble {
		killed.kill()
		if err := s.system.writeSettings(killed, false); err != nil {
			return nil, err
		}
	}
	time.Sleep(restartDelay)
	if s.trouble {
		if err := killed.start(); err != nil {
			return nil, err
		}
	}
	from := s.record.now()
	for s.record.now() < from+startWait {
		if s.tryPublish(1, route("r-main", mainPrefix)) {
			return nil, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return []string{fmt.Sprintf("Fault: no config is acknowledged within %.0f s after %s was started again; nothing is served", startWait.Seconds(), killed.name)}, nil
}
