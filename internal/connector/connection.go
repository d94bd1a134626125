package connector

import (
	"io"
	"math"
	"net/http"
	"time"
)

// Connection is a connection to one boot of an instance, for one request at a time.
type Connection struct {
	client    *http.ClientConn
	connector *Connector
	host      *host
	address   string
	boot      int64
	broken    bool
	expiry    *time.Timer // of an idle connection
}

// Boot returns the boot at the other end, or zero if it is not known.
func (c *Connection) Boot() int64 { return c.boot }

// rank orders idle connections for a request to a boot: that boot, the later ones, those whose boot is not known.
func (c *Connection) rank(boot int64) int64 {
	if c.boot == 0 && boot != 0 {
		return math.MaxInt64
	}
	return c.boot
}

// Bind records the boot that has answered on the connection.
func (c *Connection) Bind(boot int64) { c.boot = boot }

// Do sends a request and returns the status and the body of the response. After an error the connection cannot be used again.
func (c *Connection) Do(request *http.Request) (status int, body []byte, err error) {
	response, err := c.client.RoundTrip(request)
	if err != nil {
		c.broken = true
		return 0, nil, &Error{Op: "send", Kind: KindBroken, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		c.broken = true
		return 0, nil, &Error{Op: "read response", Kind: KindBroken, Err: err}
	}
	c.broken = c.broken || response.Close || int64(len(body)) == maxResponseBytes
	return response.StatusCode, body, nil
}

// Release returns the connection to the connector.
func (c *Connection) Release() { c.connector.release(c) }
