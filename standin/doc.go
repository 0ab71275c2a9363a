// Package standin provides small stand-ins for the platform and the targets,
// for tests and load trials. They listen on real sockets, can be told to
// fail, and record what they were asked. The serving path never imports it.
//
// The operator's side of a Platform takes, over HTTP:
//
//	POST /publish/KEY        body is the value; answers {"version":N}
//	POST /mode/MODE          up, down, stale or old
//	POST /hosts              body {"live":[],"leaving":[]} replaces the list
//	POST /hosts/NAME/STATE   live, leaving or gone; changes one name
//	GET  /calls              {"calls":N} of the read side
//
// The operator's side of a Fleet takes:
//
//	POST /target/ID/ACTION   chill, restart, drain, undrain, fault/NAME,
//	                         lie/NAME, snapshots/1,2; none ends a fault or lie
//	GET  /ledger             every entry as one JSON object a line
package standin
