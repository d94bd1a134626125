package client

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// DataCentre is a data centre as operators see it.
type DataCentre struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
	// By is who requested the drain, and Since when.
	By           string    `json:"by"`
	Since        time.Time `json:"since"`
	Instances    int       `json:"instances"`
	RunningTasks int       `json:"running-tasks"`
}

// DataCentres returns all data centres by name.
func (c *Client) DataCentres(ctx context.Context) ([]DataCentre, error) {
	var list []DataCentre
	err := c.Send(ctx, http.MethodGet, "/v1/data-centres", nil, &list)
	return list, err
}

// DrainDataCentre has nothing more started in a data centre, and returns once that is in force at every entry or has been requested for ten
// seconds. What runs there ends by itself. A request whose outcome is not known may be repeated.
func (c *Client) DrainDataCentre(ctx context.Context, name string) error {
	return c.Send(ctx, http.MethodPut, drainPath(name), nil, nil)
}

// ResumeDataCentre ends the drain of a data centre.
func (c *Client) ResumeDataCentre(ctx context.Context, name string) error {
	return c.Send(ctx, http.MethodDelete, drainPath(name), nil, nil)
}

func drainPath(name string) string { return "/v1/data-centres/" + url.PathEscape(name) + "/drain?wait" }
