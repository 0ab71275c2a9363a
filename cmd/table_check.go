package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
)

type tableCheckCmd struct {
	cmd  *cobra.Command
	opts tableCheckOptions
}

type tableCheckOptions struct {
	output outputOption
}

func newTableCheckCmd() *tableCheckCmd {
	c := &tableCheckCmd{}
	c.cmd = &cobra.Command{
		Use:   "check FILE",
		Short: "Checks a table and lists every error with its line and column",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd, args[0])
		},
	}
	c.opts.output.add(c.cmd)
	return c
}

func (c *tableCheckCmd) run(cmd *cobra.Command, path string) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	table, err := readTable(path)
	if asJSON {
		return writeCheckResult(cmd.OutOrStdout(), err)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is valid: %d services, %d zones\n",
		path, len(table.Services()), len(table.Zones()))
	return err
}
