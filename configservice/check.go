package configservice

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"
)

const (
	minSeats     = 1
	maxSeats     = 9
	maxNameBytes = 128
)

// checker records the names and addresses of one layout to find duplicates and
// unknown references. A path is the position in the JSON document.
type checker struct {
	names     map[string]string // path of each seat or target, by name
	addresses map[string]string // path of each address
	services  map[string]string // service of each target, by target name
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
		path := fmt.Sprintf("seats[%d] %q", i, s.Host)
		if err := c.checkMember(path, s.Host, s.Zone); err != nil {
			return err
		}
		if err := c.checkAddress(path+" peer", s.Peer); err != nil {
			return err
		}
		if err := c.checkAddress(path+" caller", s.Caller); err != nil {
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
		path := fmt.Sprintf("former[%d]", i)
		if err := checkName(path, name); err != nil {
			return err
		}
		if seen[name] {
			return errors.Newf("%s: seat %q is listed twice", path, name)
		}
		seen[name] = true
	}
	return nil
}

func (c *checker) checkTargets(targets []wireTarget) error {
	for i, t := range targets {
		path := fmt.Sprintf("targets[%d] %q", i, t.Target)
		if err := c.checkMember(path, t.Target, t.Zone); err != nil {
			return err
		}
		if err := checkName(path+" service", t.Service); err != nil {
			return err
		}
		if err := c.checkAddress(path+" address", t.Address); err != nil {
			return err
		}
		c.services[t.Target] = t.Service
	}
	return nil
}

// checkMember checks the name and zone of a seat or target. Seats and targets
// share one namespace because the platform's host list contains both.
func (c *checker) checkMember(path, name, zone string) error {
	if err := checkName(path, name); err != nil {
		return err
	}
	if other, ok := c.names[name]; ok {
		return errors.Newf("%s: the name is already used by %s", path, other)
	}
	c.names[name] = path
	return checkName(path+" zone", zone)
}

// checkAddress checks that an address is valid and unique. A target under two
// names would receive twice its limits.
func (c *checker) checkAddress(path, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return errors.Newf("%s: %q is not an address of the form ip:port", path, address)
	}
	key := parsed.String()
	if other, ok := c.addresses[key]; ok {
		return errors.Newf("%s: address %q is already used by %s", path, address, other)
	}
	c.addresses[key] = path
	return nil
}

// checkName checks that a name is usable in a header, a table cell and a key.
func checkName(path, name string) error {
	if name == "" {
		return errors.Newf("%s: the name is empty", path)
	}
	if len(name) > maxNameBytes {
		return errors.Newf("%s: the name has %d bytes, at most %d are allowed", path, len(name), maxNameBytes)
	}
	for _, r := range name {
		if r <= ' ' || r >= 0x7f || r == ',' || r == '"' || r == '/' {
			return errors.Newf("%s: the name %q has the character %q, which is not allowed", path, name, r)
		}
	}
	return nil
}
