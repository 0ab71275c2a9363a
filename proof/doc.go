// Package proof holds the failure tests of the whole system: entry hosts as
// separate processes, with the stand-ins and the callers in the test process.
// docs/PROOFS.md says which point each test proves.
package proof
