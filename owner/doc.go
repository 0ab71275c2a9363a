// Package owner provides the placement of targets on the entry hosts of a
// cell, and the two ways to say who may send work to a target: by lease, and
// by static shares as the baseline to measure against.
//
// Place is a pure function of the layout and the live members. Leased and
// Static are safe for concurrent use; they read no clock.
package owner
