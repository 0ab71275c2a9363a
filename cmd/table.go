package cmd

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/operator"
)

type tableCmd struct {
	cmd *cobra.Command
}

func newTableCmd() *tableCmd {
	c := &tableCmd{}
	c.cmd = &cobra.Command{
		Use:   "table",
		Short: "Checks, shows and compares operators' tables",
		Args:  cobra.NoArgs,
	}
	c.cmd.AddCommand(newTableCheckCmd().cmd, newTableShowCmd().cmd, newTableDiffCmd().cmd)
	return c
}

// readTable decodes a table from a file. Its version is 0 because it is not
// published.
func readTable(path string) (magnoliashore.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return magnoliashore.Table{}, magnoliashore.Step(err, "read table", path)
	}
	table, err := operator.DecodeTable(0, data)
	return table, magnoliashore.Step(err, "check", path)
}
