// Package proof holds end-to-end failure tests. The entry hosts run as separate
// processes; the stand-ins and the callers run in the test process.
// docs/PROOFS.md lists the property that each test proves.
package proof
