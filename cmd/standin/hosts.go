package main

import (
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/standin"
)

type hostsCmd struct {
	cmd     *cobra.Command
	admin   string
	live    []string
	leaving []string
}

func newHostsCmd() *hostsCmd {
	c := &hostsCmd{}
	c.cmd = &cobra.Command{
		Use:   "hosts",
		Short: "replace the host list of a stand-in platform",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	flags := c.cmd.Flags()
	flags.StringVar(&c.admin, "admin", "127.0.0.1:7901", "ip:port of the platform's admin API")
	flags.StringSliceVar(&c.live, "live", nil, "comma-separated names of live hosts")
	flags.StringSliceVar(&c.leaving, "leaving", nil, "comma-separated names of leaving hosts")
	return c
}

func (c *hostsCmd) run(cmd *cobra.Command, _ []string) error {
	client := standin.AdminClient{Address: c.admin}
	return client.SetHosts(cmd.Context(), c.live, c.leaving)
}
