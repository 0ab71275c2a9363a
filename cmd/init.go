package cmd

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/settings"
)

// settingsMode is the file mode of a new settings file.
const settingsMode = 0o644

type initCmd struct {
	cmd  *cobra.Command
	opts initOptions
}

type initOptions struct {
	output string
}

func newInitCmd() *initCmd {
	c := &initCmd{}
	c.cmd = &cobra.Command{
		Use:   "init",
		Short: "Writes a settings file that names every setting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd)
		},
	}
	c.cmd.Flags().StringVar(&c.opts.output, "output", "", "file to create, which must not exist; empty means standard output")
	return c
}

func (c *initCmd) run(cmd *cobra.Command) error {
	if c.opts.output == "" {
		_, err := cmd.OutOrStdout().Write(settings.Sample())
		return err
	}
	return magnoliashore.Step(writeNewFile(c.opts.output, settings.Sample()), "write settings", c.opts.output)
}

// writeNewFile creates a file and fails if it exists.
func writeNewFile(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, settingsMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
