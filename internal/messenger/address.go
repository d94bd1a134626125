package messenger

import (
	"fmt"
	"net"
	"net/netip"
)

// resolve reads an address that must be an IP number and a port.
func parseAddress(address string) (*net.UDPAddr, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	return net.UDPAddrFromAddrPort(a), nil
}
