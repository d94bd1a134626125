package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
	"github.com/sapphiresail/sapphiresail/internal/drainer"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/forwarder"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// DataCentreView is an element of the response to GET /v1/data-centres.
type DataCentreView struct {
	Name    fleet.DataCentreID `json:"name"`
	Drained bool               `json:"drained"`
	// By is who requested the drain, and Since when.
	By           string    `json:"by,omitempty"`
	Since        time.Time `json:"since,omitzero"`
	Instances    int       `json:"instances"`
	RunningTasks int       `json:"running-tasks"`
}

func (g *Gateway) getDataCentres(w http.ResponseWriter, _ *http.Request) {
	writeSorted(g, w, func(s *state.State) []DataCentreView {
		views := map[fleet.DataCentreID]DataCentreView{}
		for _, configured := range s.Configuration().DataCentres {
			views[configured.Name] = DataCentreView{}
		}
		for name := range s.DrainRevisions {
			views[name] = DataCentreView{}
		}
		g.options.Announcements.Read(func(observations *sharer.Sharer) {
			for id, a := range s.Instances {
				observation, _ := observations.Get(id)
				view := views[a.DataCentre]
				view.Instances++
				view.RunningTasks += len(observation.Instance.Tasks)
				views[a.DataCentre] = view
			}
		})
		rows := make([]DataCentreView, 0, len(views))
		for name, view := range views {
			view.Name = name
			if record, drained := s.DrainedDataCentres[name]; drained {
				view.Drained, view.By, view.Since = true, record.By, record.At.Time()
			}
			rows = append(rows, view)
		}
		return rows
	}, func(a, b DataCentreView) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

func (g *Gateway) putDrain(w http.ResponseWriter, r *http.Request) {
	g.changeDrain(w, r, forwarder.DrainDataCentre)
}

func (g *Gateway) deleteDrain(w http.ResponseWriter, r *http.Request) {
	g.changeDrain(w, r, forwarder.ResumeDataCentre)
}

// changeDrain drains or resumes a data centre. A repeated request is acknowledged and changes nothing.
func (g *Gateway) changeDrain(w http.ResponseWriter, r *http.Request, o forwarder.Operation) {
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	request := forwarder.Request{Operation: o, DataCentre: fleet.DataCentreID(r.PathValue("name")), By: remoteHost(r)}
	change := &drainChange{gateway: g}
	response, err := drainer.New(change.call).Change(ctx, request)
	switch {
	case err != nil:
		commitProblem(err).write(w)
		return
	case response.Outcome != forwarder.Done:
		notRunProblem(http.StatusNotFound, fmt.Sprintf("data centre %q is neither configured nor that of an instance", request.DataCentre)).write(w)
		return
	}
	g.respondCommitted(w, r, Committed{Index: change.index})
}

// drainChange calls the committed state for a drainer.
type drainChange struct {
	gateway *Gateway
	// index is that of the command, or of the state that it was compared with.
	index uint64
}

func (c *drainChange) call(ctx context.Context, request forwarder.Request) (forwarder.Response, error) {
	if request.Operation == forwarder.InspectDataCentre {
		return c.inspect(ctx, request.DataCentre)
	}
	reply, err := c.gateway.options.Replica.Commit(ctx, c.gateway.drainCommand(request))
	if errors.Is(err, state.KindStale) {
		return forwarder.Response{Outcome: forwarder.Superseded}, nil
	}
	if err != nil {
		return forwarder.Response{}, err
	}
	c.index = reply.Index
	if reply.Version == reply.Index {
		c.gateway.options.Leader.RecordDrain(request.DataCentre, request.Operation == forwarder.DrainDataCentre, request.By, reply.Index)
	}
	return forwarder.Response{Outcome: forwarder.Done}, nil
}

// inspect returns the revision of a data centre once this entry has applied all that was acknowledged before.
func (c *drainChange) inspect(ctx context.Context, name fleet.DataCentreID) (forwarder.Response, error) {
	if err := c.gateway.catchUp(ctx); err != nil {
		return forwarder.Response{}, &forwarder.Error{Op: "inspect data centre", Kind: forwarder.KindNotSent, Err: err}
	}
	response := forwarder.Response{Outcome: forwarder.UnknownDataCentre}
	c.gateway.options.Replica.View(func(s *state.State) {
		configured := slices.ContainsFunc(s.Configuration().DataCentres, func(d configuration.DataCentre) bool { return d.Name == name })
		if configured || s.HasDataCentre(name) {
			response = forwarder.Response{Outcome: forwarder.Done, Revision: s.DrainRevisions[name]}
			c.index = s.AppliedIndex
		}
	})
	return response, nil
}

// drainCommand returns the command of a request.
func (g *Gateway) drainCommand(request forwarder.Request) (c state.Command) {
	at := state.TimestampOf(time.Now())
	if request.Operation == forwarder.ResumeDataCentre {
		return state.ResumeDataCentre{DataCentre: request.DataCentre, By: request.By, At: at, Revision: request.Revision}
	}
	g.options.Replica.View(func(s *state.State) {
		c = state.DrainDataCentre{DataCentre: request.DataCentre, By: request.By, At: at, Revision: request.Revision}.WithRecord(s)
	})
	return c
}

// remoteHost returns the address of the host that sent a request, which identifies the operator in records.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
