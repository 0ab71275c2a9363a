package entry

import "github.com/magnoliashore/magnoliashore"

// SubmitSub hands a sub-request to the duty of its target, as a peer does.
func (h *Host) SubmitSub(sub magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) func() {
	return h.handler().Submit(sub, reply)
}
