package cmd

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// Values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// outputOption is the flag --output, which selects the format of a result.
type outputOption struct {
	value string
}

func (o *outputOption) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.value, "output", outputText, "output format: text or json")
}

// json reports whether the format is JSON. It fails if the format is unknown.
func (o *outputOption) json() (bool, error) {
	switch o.value {
	case outputText:
		return false, nil
	case outputJSON:
		return true, nil
	default:
		return false, errors.Newf("output: %q is not allowed; allowed are %s and %s", o.value, outputText, outputJSON)
	}
}

// checkResult is the result of a check in JSON.
type checkResult struct {
	Valid  bool     `json:"valid"`
	Errors []string `json:"faults"`
}

// writeCheckResult writes the result of a check as JSON and returns its error.
func writeCheckResult(w io.Writer, err error) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	result := checkResult{Valid: err == nil, Errors: errorTexts(err)}
	return errors.CombineErrors(err, encoder.Encode(result))
}

// errorTexts returns the text of each error that err joins.
func errorTexts(err error) []string {
	texts := []string{}
	if err == nil {
		return texts
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return append(texts, err.Error())
	}
	for _, e := range joined.Unwrap() {
		texts = append(texts, e.Error())
	}
	return texts
}
