package load

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/magnoliashore/magnoliashore"
)

// maxFileBytes is the largest experiment file that Decode accepts.
const maxFileBytes = 1 << 20

// wireExperiment is the file format. Durations are decoded as text, so that
// the error for an invalid one can name its line.
type wireExperiment struct {
	Name     string       `yaml:"name"`
	Seed     uint64       `yaml:"seed"`
	Shape    wireShape    `yaml:"shape"`
	Embedded bool         `yaml:"embedded"`
	Hosts    int          `yaml:"hosts"`
	Remote   wireRemote   `yaml:"remote"`
	Warmup   string       `yaml:"warmup"`
	Length   string       `yaml:"length"`
	Groups   []wireGroup  `yaml:"groups"`
	Targets  wireTargets  `yaml:"targets"`
	Faults   []wireFault  `yaml:"faults"`
	Policies []wirePolicy `yaml:"policies"`
	Against  string       `yaml:"against"`
}

type wireShape struct {
	Name  string  `yaml:"name"`
	Scale float64 `yaml:"scale"`
}

type wireRemote struct {
	Entries   []string `yaml:"entries"`
	Operators []string `yaml:"operators"`
	Platform  string   `yaml:"platform"`
	Admin     string   `yaml:"admin"`
	Fleet     string   `yaml:"fleet"`
}

type wireGroup struct {
	Group    string  `yaml:"group"`
	Rate     float64 `yaml:"rate"`
	Deadline string  `yaml:"deadline"`
	Best     int     `yaml:"best"`
	Once     bool    `yaml:"once"`
}

type wireTargets struct {
	Latency   string   `yaml:"latency"`
	Straggle  *float64 `yaml:"straggle"`
	Straggler string   `yaml:"straggler"`
}

type wireFault struct {
	At string `yaml:"at"`
	Do string `yaml:"do"`
}

type wirePolicy struct {
	Name     string                    `yaml:"name"`
	Direct   bool                      `yaml:"direct"`
	Rate     float64                   `yaml:"rate"`
	Settings map[string]map[string]any `yaml:"settings"`
}

// Decode reads an experiment from YAML. It rejects unknown keys, values of a
// wrong type and values out of range. The error joins all that it found, each
// with its line and key.
func Decode(data []byte) (Experiment, error) {
	const step = "read experiment"
	if len(data) > maxFileBytes {
		err := errors.Newf("the file has %d bytes; the maximum is %d", len(data), maxFileBytes)
		return Experiment{}, magnoliashore.Step(err, step, "")
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Experiment{}, magnoliashore.Step(singleLine(err), step, "")
	}
	var wire wireExperiment
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&wire)
	if err != nil && !errors.Is(err, io.EOF) {
		return Experiment{}, magnoliashore.Step(singleLine(err), step, "")
	}
	c := &converter{file: file, wire: wire}
	experiment := c.convert()
	if err := errors.Join(c.errs...); err != nil {
		return Experiment{}, magnoliashore.Step(err, step, "")
	}
	return experiment, nil
}

// singleLine reduces a multi-line error of the YAML package to one line, with
// its position if known.
func singleLine(err error) error {
	var syntaxErr yaml.Error
	if !errors.As(err, &syntaxErr) {
		return err
	}
	if token := syntaxErr.GetToken(); token != nil && token.Position != nil {
		return errors.Newf("line %d: near %q: %s", token.Position.Line, token.Value, syntaxErr.GetMessage())
	}
	return errors.New(syntaxErr.GetMessage())
}
