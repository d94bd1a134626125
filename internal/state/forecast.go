package state

import "bytes"

// maxForecastBytes bounds the summary of run times, which is part of every snapshot.
const maxForecastBytes = 8 << 10

// RecordForecast replaces the summary of the run times that the leader has learned. A keeper of a version that does not know the command
// refuses it and keeps its state; as the leader it starts without a summary.
type RecordForecast struct {
	Summary []byte `cbor:"1,keyasint"`
}

func (c RecordForecast) apply(s *State) (Reply, error) {
	if len(c.Summary) > maxForecastBytes {
		return Reply{}, refuse("record forecast", KindLimit, "%d bytes, want at most %d", len(c.Summary), maxForecastBytes)
	}
	s.Workload.Forecast = bytes.Clone(c.Summary)
	return Reply{}, nil
}
