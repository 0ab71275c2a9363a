// Command gateway runs a host on the users' platform. It is the gateway command
// of magnoliashore as a separate program.
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
	gatewaycmd.ReloadSignals() // from here on SIGHUP does not end the process
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
