// Package operator provides the tools of operators: the codec of the operators'
// table, the admin pages of an entry host, and the merged timeline of events
// from several hosts.
package operator
