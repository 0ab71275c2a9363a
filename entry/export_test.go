package entry

import "github.com/magnoliashore/magnoliashore"

// SubmitSub passes a sub-request to the worker of its target, as a peer does.
func (h *Host) SubmitSub(sub magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) func() {
	return h.handler().Submit(sub, reply)
}
