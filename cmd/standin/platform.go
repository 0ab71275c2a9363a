package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/standin"
)

type platformCmd struct {
	cmd     *cobra.Command
	address string
	admin   string
	lag     time.Duration
}

func newPlatformCmd() *platformCmd {
	c := &platformCmd{}
	c.cmd = &cobra.Command{
		Use:   "platform",
		Short: "run a stand-in for the configuration service and the host list",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	flags := c.cmd.Flags()
	flags.StringVar(&c.address, "address", "127.0.0.1:7900", "ip:port of the read API")
	flags.StringVar(&c.admin, "admin", "127.0.0.1:7901", "ip:port of the admin API")
	flags.DurationVar(&c.lag, "lag", 0, "delay before readers get a changed host list")
	return c
}

func (c *platformCmd) run(cmd *cobra.Command, _ []string) error {
	platform := &standin.Platform{Address: c.address, Admin: c.admin, Lag: c.lag}
	return platform.Run(cmd.Context())
}
