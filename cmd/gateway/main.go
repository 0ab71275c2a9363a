// Command gateway runs a host on the users' platform: the gateway command of
// magnoliashore as a program of its own.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliashore/magnoliashore/cmd/gatewaycmd"
)

func main() {
	gatewaycmd.Reloads()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	command := gatewaycmd.New()
	command.SilenceErrors, command.SilenceUsage = true, true
	err := command.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "gateway: %v\n", err)
		os.Exit(1)
	}
}
