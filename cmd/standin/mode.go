package main

import (
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/standin"
)

type modeCmd struct {
	cmd   *cobra.Command
	admin string
}

func newModeCmd() *modeCmd {
	c := &modeCmd{}
	c.cmd = &cobra.Command{
		Use:   "mode up|down|stale|old",
		Short: "select which version a stand-in platform serves, if any",
		Args:  cobra.ExactArgs(1),
		RunE:  c.run,
	}
	c.cmd.Flags().StringVar(&c.admin, "admin", "127.0.0.1:7901", "ip:port of the platform's admin API")
	return c
}

func (c *modeCmd) run(cmd *cobra.Command, args []string) error {
	mode, err := standin.ParseMode(args[0])
	if err != nil {
		return err
	}
	client := standin.AdminClient{Address: c.admin}
	return client.SetMode(cmd.Context(), mode)
}
