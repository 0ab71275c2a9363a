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

func (c *tableDiffCmd) run(cmd *cobra.Command, oldPath, newPath string) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	oldTable, err := readTable(oldPath)
	if err != nil {
		return err
	}
	newTable, err := readTable(newPath)
	if err != nil {
		return err
	}
	changes := operator.DiffTables(oldTable, newTable)
	if asJSON {
		return operator.RenderChangesJSON(cmd.OutOrStdout(), changes)
	}
	return operator.RenderChanges(cmd.OutOrStdout(), changes)
}
