// Package owner places targets on the entry hosts of a cell, and decides which
// host may send how many requests to a target. Leased decides by placement and
// lease. Static divides each limit evenly and serves as the baseline for
// measurements.
//
// Place is a pure function of the layout and the live members. Leased and
// Static are safe for concurrent use; they read no clock.
package owner
