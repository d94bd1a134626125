package accountant

import (
	"math"

	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/namer"
)

// Level ranks customers by what they got over the last seconds; lower values come first. There are two: a third, of customers that waited for their
// share, let less work be in time in all, since its jobs overtook more urgent ones.
type Level uint8

// Levels of a customer.
const (
	// Even is the level of new customers, and of all while there is enough for all.
	Even Level = iota
	// Ahead means that the customer got more than its share while others waited.
	Ahead
)

// String returns the name that logs and explanations use.
func (l Level) String() string { return namer.Name(l, "even", "ahead") }

// Account is that of one customer.
type Account struct {
	customer                  fleet.CustomerID
	givenWeight, used, demand float64
	fair, within, balance     float64
	level                     Level
}

// Set states the weight of the customer, what it uses, and what it asks for including that. Use and demand are in units of the capacity. Without a
// positive weight it is 1.
func (c *Account) Set(weight, used, demand float64) {
	c.givenWeight, c.used, c.demand = weight, used, demand
}

// Customer returns the customer.
func (c *Account) Customer() fleet.CustomerID { return c.customer }

// Level returns the level as of the last settlement.
func (c *Account) Level() Level { return c.level }

// Within returns the part of the customer's demand that is within its share of the fleet, 1 if there is enough for all.
func (c *Account) Within() float64 { return c.within }

// Balance returns by how many seconds of its fair share the customer is ahead; it is negative if it is behind.
func (c *Account) Balance() float64 { return c.balance }

func (c *Account) weight() float64 {
	if c.givenWeight > 0 && !math.IsInf(c.givenWeight, 1) {
		return c.givenWeight
	}
	return defaultWeight
}

// settle decays the balance over the seconds that have elapsed, and adds by how much the use in them differed from the fair share.
func (c *Account) settle(seconds, decay, perWeight float64) {
	c.balance *= decay
	c.within = 1
	c.fair = perWeight * c.weight()
	switch {
	case math.IsInf(c.fair, 1):
	case c.fair == 0:
		c.within = 0
	default:
		c.within = min(1, c.fair/max(c.demand, c.fair))
		difference := c.used/c.fair - 1
		if difference > 0 || c.demand > c.used {
			c.balance += difference * seconds
		}
	}
	c.balance = min(max(c.balance, -maxBalance), maxBalance)
	c.level = c.level.next(c.balance)
}

// next returns the level that follows at a balance. It is left at a smaller balance than it is entered at.
func (l Level) next(balance float64) Level {
	if balance >= enterBalance || l == Ahead && balance > leaveBalance {
		return Ahead
	}
	return Even
}
