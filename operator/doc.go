// Package operator provides what operators work with: the table codec, the
// admin pages of an entry host, and the time line over several hosts.
package operator
