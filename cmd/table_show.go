package cmd

import (
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/operator"
)

type tableShowCmd struct {
	cmd  *cobra.Command
	opts tableShowOptions
}

type tableShowOptions struct {
	output outputOption
}

func newTableShowCmd() *tableShowCmd {
	c := &tableShowCmd{}
	c.cmd = &cobra.Command{
		Use:   "show FILE",
		Short: "Shows a table in aligned columns",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd, args[0])
		},
	}
	c.opts.output.add(c.cmd)
	return c
}

func (c *tableShowCmd) run(cmd *cobra.Command, path string) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	table, err := readTable(path)
	if err != nil {
		return err
	}
	if asJSON {
		return operator.RenderTableJSON(cmd.OutOrStdout(), table)
	}
	return operator.RenderTable(cmd.OutOrStdout(), table)
}
