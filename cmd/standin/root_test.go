package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/standin"
)

func output(args ...string) (string, error) {
	root := newRootCmd()
	var out bytes.Buffer
	root.cmd.SetOut(&out)
	root.cmd.SetArgs(args)
	err := root.cmd.Execute()
	return out.String(), err
}

func TestCommandErrors(t *testing.T) {
	t.Parallel()
	tests := []struct {
		args string
		want string
	}{
		{"mode sideways", `mode "sideways" does not exist`},
		{"shape atlanta table", `shape "atlanta" does not exist`},
		{"shape kovacic paint", `part "paint" of a shape does not exist`},
		{"shape kovacic layout --hosts 0", "seats: there are 0, allowed are 1 to 9"},
		{"shape kovacic layout --seat e1,a", `seat "e1,a" has 2 fields`},
		{"shape kovacic table --scale 2", "scale is 2"},
		{"publish x", `required flag(s) "key" not set`},
		{"targets", `required flag(s) "config" not set`},
		{"targets --config /nonexistent", "no such file"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			t.Parallel()
			_, err := output(strings.Fields(test.args)...)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

func TestShapeOutput(t *testing.T) {
	t.Parallel()
	text, err := output("shape", "peachtree", "targets", "--port", "9100")
	if err != nil {
		t.Fatal(err)
	}
	targets, err := standin.ParseTargets([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	text, err = output("shape", "peachtree", "layout", "--port", "9100", "--seat", "e1,a,127.0.0.1:7101,127.0.0.1:7001")
	if err != nil {
		t.Fatal(err)
	}
	layout, err := configservice.DecodeLayout(1, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(layout.Targets()), len(targets); got != want {
		t.Fatalf("got %d targets in the layout, want %d", got, want)
	}
	for i, got := range layout.Targets() {
		if want := targets[i]; string(got.ID()) != want.ID || got.Address() != want.Address {
			t.Errorf("got %s at %s, want %s at %s", got.ID(), got.Address(), want.ID, want.Address)
		}
	}
}
