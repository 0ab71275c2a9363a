package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/standin"
)

type shapeCmd struct {
	cmd   *cobra.Command
	scale float64
	port  int
}

func newShapeCmd() *shapeCmd {
	c := &shapeCmd{}
	c.cmd = &cobra.Command{
		Use:   "shape kovacic|peachtree table|targets",
		Short: "print the operators' table or the targets of a user's shape",
		Args:  cobra.ExactArgs(2),
		RunE:  c.run,
	}
	flags := c.cmd.Flags()
	flags.Float64Var(&c.scale, "scale", 1, "share of the services, above 0 and at most 1")
	flags.IntVar(&c.port, "port", 9001, "port of the first target on 127.0.0.1; the others follow")
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
	default:
		return nil, errors.Newf("part %q of a shape does not exist, want table or targets", what)
	}
}
