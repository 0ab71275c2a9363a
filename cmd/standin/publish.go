package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/standin"
)

type publishCmd struct {
	cmd   *cobra.Command
	admin string
	key   string
}

func newPublishCmd() *publishCmd {
	c := &publishCmd{}
	c.cmd = &cobra.Command{
		Use:   "publish FILE",
		Short: "publish a file as the newest value of a key and print its version",
		Args:  cobra.ExactArgs(1),
		RunE:  c.run,
	}
	flags := c.cmd.Flags()
	flags.StringVar(&c.admin, "admin", "127.0.0.1:7901", "ip:port of the platform's admin API")
	flags.StringVar(&c.key, "key", "", "key, such as cells/CELL/table")
	_ = c.cmd.MarkFlagRequired("key")
	return c
}

func (c *publishCmd) run(cmd *cobra.Command, args []string) error {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	client := standin.AdminClient{Address: c.admin}
	version, err := client.Publish(cmd.Context(), c.key, data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), version)
	return err
}
