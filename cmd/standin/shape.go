package main

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/standin"
)

type shapeCmd struct {
	cmd   *cobra.Command
	scale float64
	port  int
	seats []string
	hosts int
}

// Ports of the first entry host in a layout without --seat.
const (
	firstCallerPort = 7001
	firstPeerPort   = 7101
)

func newShapeCmd() *shapeCmd {
	c := &shapeCmd{}
	c.cmd = &cobra.Command{
		Use:   "shape kovacic|peachtree table|targets|layout",
		Short: "print the operators' table, the targets or the layout of a shape",
		Args:  cobra.ExactArgs(2),
		RunE:  c.run,
	}
	flags := c.cmd.Flags()
	flags.Float64Var(&c.scale, "scale", 1, "fraction of the services, above 0 and at most 1")
	flags.IntVar(&c.port, "port", 9001, "port of the first target on 127.0.0.1; the others use the next ports")
	flags.StringArrayVar(&c.seats, "seat", nil,
		"seat of the layout as host,zone,peer,caller with ip:port addresses; may be repeated")
	flags.IntVar(&c.hosts, "hosts", 3,
		"number of seats (e1, e2, ...) in a layout without --seat, on ports from 7001 (callers) and 7101 (peers)")
	return c
}

func (c *shapeCmd) run(cmd *cobra.Command, args []string) error {
	shape, err := standin.NamedShape(args[0], c.scale)
	if err != nil {
		return err
	}
	data, err := c.print(shape, args[1])
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(data)
	return err
}

func (c *shapeCmd) print(shape standin.Shape, what string) ([]byte, error) {
	switch what {
	case "table":
		return shape.Table(), nil
	case "targets":
		return standin.FormatTargets(c.targets(shape))
	case "layout":
		return c.layout(shape)
	default:
		return nil, errors.Newf("part %q of a shape does not exist, want table, targets or layout", what)
	}
}

// targets returns the targets with addresses on consecutive ports.
func (c *shapeCmd) targets(shape standin.Shape) []standin.TargetConfig {
	list := shape.Targets()
	for i := range list {
		list[i].Address = fmt.Sprintf("127.0.0.1:%d", c.port+i)
	}
	return list
}

func (c *shapeCmd) layout(shape standin.Shape) ([]byte, error) {
	addresses := make(map[string]string)
	for _, target := range c.targets(shape) {
		addresses[target.ID] = target.Address
	}
	seats := make([]magnoliashore.Seat, 0, len(c.seats))
	for _, text := range c.seats {
		seat, err := parseSeat(text)
		if err != nil {
			return nil, err
		}
		seats = append(seats, seat)
	}
	if len(seats) == 0 {
		seats = c.defaultSeats(shape)
	}
	layout := shape.Layout(func(id string) string { return addresses[id] }, seats)
	return configservice.EncodeLayout(layout)
}

// defaultSeats returns seats on consecutive ports, spread evenly over the zones.
func (c *shapeCmd) defaultSeats(shape standin.Shape) []magnoliashore.Seat {
	zones := shape.Zones()
	seats := make([]magnoliashore.Seat, 0, c.hosts)
	for i := range c.hosts {
		seats = append(seats, magnoliashore.NewSeat(
			magnoliashore.HostID(fmt.Sprintf("e%d", i+1)),
			magnoliashore.ZoneName(zones[i%len(zones)]),
			fmt.Sprintf("127.0.0.1:%d", firstPeerPort+i),
			fmt.Sprintf("127.0.0.1:%d", firstCallerPort+i)))
	}
	return seats
}

// parseSeat parses "host,zone,peer,caller".
func parseSeat(text string) (magnoliashore.Seat, error) {
	const fields = 4
	parts := strings.Split(text, ",")
	if len(parts) != fields {
		return magnoliashore.Seat{}, errors.Newf("seat %q has %d fields, want host,zone,peer,caller", text, len(parts))
	}
	return magnoliashore.NewSeat(
		magnoliashore.HostID(parts[0]), magnoliashore.ZoneName(parts[1]), parts[2], parts[3]), nil
}
