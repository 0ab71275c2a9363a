// Package registry reads the operators' configuration and the targets from the
// platform's store. Table is the pure part: it determines which of several
// reports of a key is the latest, and how long a target remains usable after its
// entry was removed. Reader keeps a Table up to date.
package registry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// Item is the state of one key of the store at a revision.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Position is a point in the history of the store. Positions are ordered by era,
// then by revision.
type Position struct {
	// Era counts how often the store was restored from an older copy. Revisions
	// start again from that of the copy in each era.
	Era      uint64
	Revision uint64
}

// IsZero reports whether nothing has been read yet.
func (p Position) IsZero() bool { return p == Position{} }

// Batch is the answer of a source: items in any order, and the position up to
// which they are complete. The revisions of the items belong to its era.
type Batch struct {
	Items    []Item
	Position Position
	Source   string        // name of the source, for logs
	Age      time.Duration // since the last contact with the store; zero if the batch comes from the store itself
	Hops     int           // hosts that the batch came through; zero if it comes from the store itself
	// Since is the latest known contact with the store before this batch: the changes in it
	// may be as old. It is zero for the first batch.
	Since time.Time
}

// ErrCompacted means that the changes after a position were discarded, or that
// the store was restored since, so that all items have to be listed again.
var ErrCompacted = errors.New("changes after the position are no longer available")

// Source provides items: the store, or a host that has read it.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (Batch, error)
	// Watch returns the items changed after a position as soon as there is
	// one, or an empty batch after a time that the source chooses; at once if
	// wait is false.
	Watch(ctx context.Context, after Position, wait bool) (Batch, error)
}

// Decoded is the decoded value of an item. At most one of its fields is set.
type Decoded struct {
	Target        *catalog.Target
	Config        *catalog.Config
	EvacuatedZone magnoliashore.ZoneName // availability zone whose targets receive no requests
}

// Decoder decodes items.
type Decoder interface {
	// Decode decodes an item that is not removed, received at now. It returns an
	// error if the item is unusable.
	Decode(item Item, now time.Time) (Decoded, error)
}
