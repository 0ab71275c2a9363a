// Package configservice provides access to the users' configuration service,
// also called the platform: an HTTP client, the codec of the layout, the store of
// the configuration in force, and the choice of the entry host of a cell that
// watches for new versions.
package configservice

import "github.com/cockroachdb/errors"

// MaxValue is the maximum size of a published value, in bytes.
const MaxValue = 1 << 20

// Errors to test for with errors.Is.
var (
	// ErrNotFound says that a key was never published.
	ErrNotFound = errors.New("the key was never published")
	// ErrConflict means that two different values carry the same version.
	ErrConflict = errors.New("two different values carry the same version")
)

// TableKey returns the key of a cell's operators' table.
func TableKey(cell string) string { return "cells/" + cell + "/table" }

// LayoutKey returns the key of a cell's layout.
func LayoutKey(cell string) string { return "cells/" + cell + "/layout" }
