package cmd

import (
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/operator"
)

type tableDiffCmd struct {
	cmd  *cobra.Command
	opts tableDiffOptions
}

type tableDiffOptions struct {
	output outputOption
}

func newTableDiffCmd() *tableDiffCmd {
	c := &tableDiffCmd{}
	c.cmd = &cobra.Command{
		Use:   "diff BEFORE AFTER",
		Short: "Lists the cells in which two tables differ",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd, args[0], args[1])
		},
	}
	c.opts.output.add(c.cmd)
	return c
}

func (c *tableDiffCmd) run(cmd *cobra.Command, before, after string) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	first, err := readTable(before)
	if err != nil {
		return err
	}
	second, err := readTable(after)
	if err != nil {
		return err
	}
	changes := operator.DiffTables(first, second)
	if asJSON {
		return operator.RenderChangesJSON(cmd.OutOrStdout(), changes)
	}
	return operator.RenderChanges(cmd.OutOrStdout(), changes)
}
