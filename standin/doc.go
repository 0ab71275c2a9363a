// Package standin provides test doubles of the platform (the configuration
// service and the host list) and of the targets, for tests and load tests. They
// listen on real sockets, inject faults on request and record every request.
// The code that serves queries never imports it.
//
// The admin API of a Platform:
//
//	POST /publish/KEY        body is the value; returns {"version":N}
//	POST /mode/MODE          up, down, stale or old
//	POST /hosts              body {"live":[],"leaving":[]} replaces the host list
//	POST /hosts/NAME/STATE   live, leaving or gone; changes one name
//	GET  /calls              {"calls":N} received by the read API
//
// The admin API of a Fleet:
//
//	POST /target/ID/ACTION   chill, restart, drain, undrain, fault/NAME,
//	                         lie/NAME, snapshots/1,2; none clears a fault or lie
//	GET  /ledger             all entries, one JSON object per line
package standin
