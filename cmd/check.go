package cmd

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/cmd/gatewaycmd"
	"github.com/magnoliashore/magnoliashore/settings"
)

type checkCmd struct {
	cmd  *cobra.Command
	opts checkOptions
}

type checkOptions struct {
	output   outputOption
	platform bool
}

func newCheckCmd() *checkCmd {
	c := &checkCmd{}
	c.cmd = &cobra.Command{
		Use:   "check FILE",
		Short: "Checks a settings file and lists every error",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd, args[0])
		},
	}
	c.opts.output.add(c.cmd)
	c.cmd.Flags().BoolVar(&c.opts.platform, "platform", false, "check FILE as a settings file of the gateway command, for the users' platform")
	return c
}

func (c *checkCmd) run(cmd *cobra.Command, path string) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	if c.opts.platform {
		_, err = gatewaycmd.LoadSettings(path)
	} else {
		err = checkSettings(path)
	}
	if asJSON {
		return writeCheckResult(cmd.OutOrStdout(), err)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is valid\n", path)
	return err
}

func checkSettings(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return magnoliashore.Step(err, "read settings", path)
	}
	s, err := settings.Load(data)
	if err != nil {
		return err
	}
	return s.Check()
}
