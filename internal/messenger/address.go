package messenger

import (
	"fmt"
	"net"
	"net/netip"
)

// parseAddress parses an IP address and port; host names are not resolved.
func parseAddress(address string) (*net.UDPAddr, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	return net.UDPAddrFromAddrPort(a), nil
}
