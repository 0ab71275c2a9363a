package configservice

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"
)

const (
	minSeats = 1
	maxSeats = 9
	maxName  = 128 // bytes of a name
)

// checker collects what the checks of one layout compare.
type checker struct {
	names     map[string]string // seat or target name, to its place
	addresses map[string]string // address, to its place
	services  map[string]string // target name, to its service
}

// checkLayout returns the first inconsistency of the layout.
func checkLayout(wire wireLayout) error {
	c := &checker{
		names:     make(map[string]string),
		addresses: make(map[string]string),
		services:  make(map[string]string),
	}
	if err := checkName("cell", wire.Cell); err != nil {
		return err
	}
	if err := c.checkSeats(wire.Seats); err != nil {
		return err
	}
	if err := checkFormer(wire.Former); err != nil {
		return err
	}
	if err := c.checkTargets(wire.Targets); err != nil {
		return err
	}
	return c.checkSnapshots(wire.Snapshots)
}

func (c *checker) checkSeats(seats []wireSeat) error {
	if len(seats) < minSeats || len(seats) > maxSeats {
		return errors.Newf("seats: there are %d, allowed are %d to %d", len(seats), minSeats, maxSeats)
	}
	for i, s := range seats {
		place := fmt.Sprintf("seats[%d] %q", i, s.Host)
		if err := c.checkMember(place, s.Host, s.Zone); err != nil {
			return err
		}
		if err := c.checkAddress(place+" peer", s.Peer); err != nil {
			return err
		}
		if err := c.checkAddress(place+" caller", s.Caller); err != nil {
			return err
		}
	}
	return nil
}

func checkFormer(former []string) error {
	if len(former) > maxSeats {
		return errors.Newf("former: there are %d seats, allowed are at most %d", len(former), maxSeats)
	}
	seen := make(map[string]bool, len(former))
	for i, name := range former {
		place := fmt.Sprintf("former[%d]", i)
		if err := checkName(place, name); err != nil {
			return err
		}
		if seen[name] {
			return errors.Newf("%s: seat %q is listed twice", place, name)
		}
		seen[name] = true
	}
	return nil
}

func (c *checker) checkTargets(targets []wireTarget) error {
	for i, t := range targets {
		place := fmt.Sprintf("targets[%d] %q", i, t.Target)
		if err := c.checkMember(place, t.Target, t.Zone); err != nil {
			return err
		}
		if err := checkName(place+" service", t.Service); err != nil {
			return err
		}
		if err := c.checkAddress(place+" address", t.Address); err != nil {
			return err
		}
		c.services[t.Target] = t.Service
	}
	return nil
}

// checkMember checks the name and zone of a seat or target. Both share one
// space of names, since the platform's list of hosts has both.
func (c *checker) checkMember(place, name, zone string) error {
	if err := checkName(place, name); err != nil {
		return err
	}
	if other, ok := c.names[name]; ok {
		return errors.Newf("%s: the name is also that of %s", place, other)
	}
	c.names[name] = place
	return checkName(place+" zone", zone)
}

// checkAddress checks the form of an address, and that no other seat or
// target has it: a target under two names would be given twice its limits.
func (c *checker) checkAddress(place, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return errors.Newf("%s: %q is not an address of the form ip:port", place, address)
	}
	key := parsed.String()
	if other, ok := c.addresses[key]; ok {
		return errors.Newf("%s: address %q is also that of %s", place, address, other)
	}
	c.addresses[key] = place
	return nil
}

// checkName checks that a name can stand in a header, a table cell and a key.
func checkName(place, name string) error {
	if name == "" {
		return errors.Newf("%s: the name is empty", place)
	}
	if len(name) > maxName {
		return errors.Newf("%s: the name has %d bytes, at most %d are allowed", place, len(name), maxName)
	}
	for _, r := range name {
		if r <= ' ' || r >= 0x7f || r == ',' || r == '"' || r == '/' {
			return errors.Newf("%s: the name %q has the character %q, which is not allowed", place, name, r)
		}
	}
	return nil
}
