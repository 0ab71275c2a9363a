package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
)

type rootCmd struct {
	cmd *cobra.Command
}

func newRootCmd() *rootCmd {
	root := &rootCmd{}
	root.cmd = &cobra.Command{
		Use:           "standin",
		Short:         "stand-ins for the platform and the targets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.cmd.AddCommand(
		newPlatformCmd().cmd,
		newTargetsCmd().cmd,
		newPublishCmd().cmd,
		newModeCmd().cmd,
		newHostsCmd().cmd,
		newShapeCmd().cmd,
	)
	return root
}

// execute runs the command given by args and returns the exit code.
func execute(ctx context.Context, args []string) int {
	root := newRootCmd()
	root.cmd.SetArgs(args)
	if err := root.cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return exitError
	}
	return exitOK
}
