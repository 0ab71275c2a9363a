package cmd

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// The values of the option output.
const (
	outputText = "text"
	outputJSON = "json"
)

// outputOption is the option that selects how a result is written.
type outputOption struct {
	value string
}

func (o *outputOption) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.value, "output", outputText, "how to write the result: text or json")
}

// json reports whether to write JSON.
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

// verdict is the result of a check in JSON.
type verdict struct {
	Valid  bool     `json:"valid"`
	Faults []string `json:"faults"`
}

// writeVerdict writes the result of a check as JSON and returns its error.
func writeVerdict(w io.Writer, err error) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	v := verdict{Valid: err == nil, Faults: faultTexts(err)}
	return errors.CombineErrors(err, encoder.Encode(v))
}

// faultTexts returns the text of each error that err joins.
func faultTexts(err error) []string {
	texts := []string{}
	if err == nil {
		return texts
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return append(texts, err.Error())
	}
	for _, fault := range joined.Unwrap() {
		texts = append(texts, fault.Error())
	}
	return texts
}
