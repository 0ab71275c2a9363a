package load

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/magnoliashore/magnoliashore"
)

// maxFile is the most bytes that an experiment file may have.
const maxFile = 1 << 20

// wireExperiment is the file. Times are text with a unit, so that the message
// about a wrong one can name its line.
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
	Targets  wireTune     `yaml:"targets"`
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

type wireTune struct {
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

// Decode reads an experiment from YAML. It refuses unknown keys, values of a
// wrong type and values out of range; the error joins the faults, each with
// its line and key.
func Decode(data []byte) (Experiment, error) {
	const step = "read experiment"
	if len(data) > maxFile {
		err := errors.Newf("the file has %d bytes; allowed are at most %d", len(data), maxFile)
		return Experiment{}, magnoliashore.Step(err, step, "")
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Experiment{}, magnoliashore.Step(inLine(err), step, "")
	}
	var wire wireExperiment
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&wire)
	if err != nil && !errors.Is(err, io.EOF) {
		return Experiment{}, magnoliashore.Step(inLine(err), step, "")
	}
	c := &converter{file: file, wire: wire}
	experiment := c.convert()
	if err := errors.Join(c.faults...); err != nil {
		return Experiment{}, magnoliashore.Step(err, step, "")
	}
	return experiment, nil
}

// inLine returns an error of the YAML package in one line.
func inLine(err error) error {
	var fault yaml.Error
	if !errors.As(err, &fault) {
		return err
	}
	if token := fault.GetToken(); token != nil && token.Position != nil {
		return errors.Newf("line %d: near %q: %s", token.Position.Line, token.Value, fault.GetMessage())
	}
	return errors.New(fault.GetMessage())
}
