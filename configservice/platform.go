// Package configservice provides access to the users' configuration service: the
// HTTP client, the codec of the layout, the configuration in force, and the
// rule by which the entry hosts of a cell share the reads.
package configservice

import "github.com/cockroachdb/errors"

// MaxValue is the largest published value, in bytes.
const MaxValue = 1 << 20

// The errors that callers tell apart with errors.Is.
var (
	// ErrNotFound says that a key was never published.
	ErrNotFound = errors.New("the key was never published")
	// ErrConflict says that two different values carry the same version.
	ErrConflict = errors.New("two different values carry the same version")
)

// TableKey returns the key of a cell's operators' table.
func TableKey(cell string) string { return "cells/" + cell + "/table" }

// LayoutKey returns the key of a cell's layout.
func LayoutKey(cell string) string { return "cells/" + cell + "/layout" }
