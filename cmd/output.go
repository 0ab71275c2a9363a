package cmd

import "github.com/cockroachdb/errors"

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(output string) error {
	if output == outputText || output == outputJSON {
		return nil
	}
	return errors.Newf("output %q does not exist, want %s or %s", output, outputText, outputJSON)
}
