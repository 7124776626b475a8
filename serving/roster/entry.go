package roster

import (
	"errors"
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"
)

// Bounds of the fields of an entry.
const (
	// maxNameBytes bounds an id and the names of a service and a failure domain.
	maxNameBytes = 200
	// maxSlots bounds the slots, so that sums over endpoints do not overflow.
	maxSlots = 1 << 20
)

// limitedBroadcast is the address of all hosts of a network.
var limitedBroadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Check returns an error unless the entry lists an endpoint to which requests can be sent.
func (e *Entry) Check() error {
	for _, name := range [...]struct{ field, value string }{{"id", string(e.ID)}, {"service", string(e.Service)}, {"domain", string(e.Domain)}} {
		if err := checkName(name.value); err != nil {
			return fmt.Errorf("%s: %w", name.field, err)
		}
	}
	if err := checkAddress(e.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		return fmt.Errorf("slots is %d, must be from 1 to %d", e.Slots, maxSlots)
	}
	if e.Born < 1 {
		return fmt.Errorf("the start time is %d, must be positive", e.Born)
	}
	if e.Stage < NoStage || e.Stage > Decode {
		return fmt.Errorf("unknown stage %d", int(e.Stage))
	}
	return nil
}

// checkName checks a name, which may become part of a header field.
func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("is missing")
	case len(name) > maxNameBytes:
		return fmt.Errorf("has %d bytes, must have at most %d", len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return errors.New("is not valid UTF-8")
	}
	for _, r := range name {
		if unicode.IsControl(r) {
			return errors.New("has control characters")
		}
	}
	return nil
}

// checkAddress checks that an address is one host's. A loopback address may be, if all runs on one machine.
func checkAddress(address string) error {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	ip := addr.Addr().Unmap()
	switch {
	case addr.Port() == 0:
		return errors.New("the port is 0")
	case ip.Zone() != "":
		return errors.New("has an IPv6 zone")
	case ip.IsUnspecified(), ip.IsMulticast(), ip == limitedBroadcast:
		return fmt.Errorf("%s is not the address of one host", ip)
	}
	return nil
}
