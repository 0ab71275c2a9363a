package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/standin"
)

type targetsCmd struct {
	cmd           *cobra.Command
	admin         string
	platformAdmin string
	config        string
}

func newTargetsCmd() *targetsCmd {
	c := &targetsCmd{}
	c.cmd = &cobra.Command{
		Use:   "targets",
		Short: "run the stand-in targets listed in a YAML file",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	flags := c.cmd.Flags()
	flags.StringVar(&c.admin, "admin", "127.0.0.1:7902", "ip:port of the admin API")
	flags.StringVar(&c.platformAdmin, "platform-admin", "",
		"ip:port of the admin API of a stand-in platform, whose host list follows the targets")
	flags.StringVar(&c.config, "config", "", "YAML file with the targets")
	_ = c.cmd.MarkFlagRequired("config")
	return c
}

func (c *targetsCmd) run(cmd *cobra.Command, _ []string) error {
	data, err := os.ReadFile(c.config)
	if err != nil {
		return err
	}
	configs, err := standin.ParseTargets(data)
	if err != nil {
		return err
	}
	fleet := &standin.Fleet{Admin: c.admin, PlatformAdmin: c.platformAdmin}
	for _, config := range configs {
		fleet.Targets = append(fleet.Targets, standin.NewTarget(config))
	}
	return fleet.Run(cmd.Context())
}
