// Package registry keeps what the platform's store says of the operators'
// configuration and of the targets. Table is the pure part: it decides which
// of several reports of a key holds, and for how long a target may still be
// used after its entry has gone. Reader keeps a Table up to date.
package registry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// Item is one key of the store as it stood at a revision.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Batch is the answer of a source: items in any order, and the revision up to
// which they are complete.
type Batch struct {
	Items    []Item
	Revision uint64
	Age      time.Duration // since the store was heard; zero if it gave the batch itself
	Hops     int           // hosts that the batch came through; zero if the store gave it
}

// ErrCompacted says that the changes after a revision are no longer known, so
// that everything has to be listed again.
var ErrCompacted = errors.New("history is no longer available")

// Source is where items come from: the store, or a host that has read it.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (Batch, error)
	// Watch returns the items changed after a revision as soon as there is
	// one, or an empty batch when the source has waited long enough.
	Watch(ctx context.Context, after uint64) (Batch, error)
}

// Decoded is the meaning of an item. Exactly one of its fields is set.
type Decoded struct {
	Target        *catalog.Target
	Config        *catalog.Config
	EvacuatedZone magnoliashore.ZoneName // an availability zone whose targets are to get nothing
}

// Decoder gives the meaning of items.
type Decoder interface {
	// Decode returns the meaning of an item that is not removed, received at
	// now. An error means that the item says nothing that can be used.
	Decode(item Item, now time.Time) (Decoded, error)
}
