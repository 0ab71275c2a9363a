package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/platform"
	"github.com/magnoliashore/magnoliashore/standin"
)

type shapeCmd struct {
	cmd   *cobra.Command
	scale float64
	port  int
	hosts int
}

func newShapeCmd() *shapeCmd {
	c := &shapeCmd{}
	c.cmd = &cobra.Command{
		Use:   "shape kovacic|peachtree table|targets|layout",
		Short: "print the operators' table, the targets or the layout of a user's shape",
		Args:  cobra.ExactArgs(2),
		RunE:  c.run,
	}
	flags := c.cmd.Flags()
	flags.Float64Var(&c.scale, "scale", 1, "share of the services, above 0 and at most 1")
	flags.IntVar(&c.port, "port", 9001, "port of the first target on 127.0.0.1; the others follow")
	flags.IntVar(&c.hosts, "hosts", 3, "entry hosts of the layout, on the ports from 7001 (callers) and 7101 (peers)")
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
		list := shape.Targets()
		for i := range list {
			list[i].Address = fmt.Sprintf("127.0.0.1:%d", c.port+i)
		}
		return standin.FormatTargets(list)
	case "layout":
		return c.layout(shape)
	default:
		return nil, errors.Newf("part %q of a shape does not exist, want table, targets or layout", what)
	}
}

// Ports of the first entry host of a printed layout.
const (
	callerPort = 7001
	peerPort   = 7101
)

// layout returns the layout of the shape with the targets on consecutive
// ports, and entry hosts e1, e2 and so on spread over the zones.
func (c *shapeCmd) layout(shape standin.Shape) ([]byte, error) {
	addresses := make(map[string]string)
	for i, target := range shape.Targets() {
		addresses[target.ID] = fmt.Sprintf("127.0.0.1:%d", c.port+i)
	}
	zones := shape.Zones()
	var seats []magnoliashore.Seat
	for i := range c.hosts {
		seats = append(seats, magnoliashore.NewSeat(
			magnoliashore.HostID(fmt.Sprintf("e%d", i+1)), magnoliashore.ZoneName(zones[i%len(zones)]),
			fmt.Sprintf("127.0.0.1:%d", peerPort+i), fmt.Sprintf("127.0.0.1:%d", callerPort+i)))
	}
	return platform.EncodeLayout(shape.Layout(func(id string) string { return addresses[id] }, seats))
}
