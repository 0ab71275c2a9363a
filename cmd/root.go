// Package cmd implements the magnoliashore command line, with one file for each
// command.
package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/cmd/gatewaycmd"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
)

// Execute runs the command line args and returns the exit code.
func Execute(ctx context.Context, args []string) int {
	root := newRootCmd()
	root.cmd.SetArgs(args)
	if err := root.cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "magnoliashore: %v\n", err)
		return exitError
	}
	return exitOK
}

type rootCmd struct {
	cmd *cobra.Command
}

func newRootCmd() *rootCmd {
	root := &rootCmd{}
	root.cmd = &cobra.Command{
		Use:           "magnoliashore",
		Short:         "a query tier over many shards",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.cmd.AddCommand(
		newCheckCmd().cmd,
		newExplainCmd().cmd,
		gatewaycmd.New(),
		newInitCmd().cmd,
		newLoadCmd().cmd,
		newQueryCmd().cmd,
		newServeCmd().cmd,
		newSoakCmd().cmd,
		newTableCmd().cmd,
		newTimelineCmd().cmd,
		newTryCmd().cmd,
	)
	return root
}
