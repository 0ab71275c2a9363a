package peer

// The wire types are CBOR arrays; a frame is one kind byte and one of them.
// Times are microseconds, because a deadline may be a few milliseconds.

type wireHeld struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
}

type wireInfo struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
	Epoch       uint64
	Order       uint64
	Leaving     bool
	Ready       bool
	Queries     int
	Held        []wireHeld
	ReadAge     int64
	HostsHash   uint64
	HostsAge    int64
}

type wireSeen struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
}

type wireAsk struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Roster   uint64
	View     []wireSeen
	Keys     []uint32
	Release  []uint32
}

type wireReply struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	View     []wireSeen
	Granted  []uint32
	Recorded bool
	Ready    bool
}

// Bits of the field Same: the part is as in the frame of the same kind before
// it on the connection, and left out.
const (
	sameConfig = 1 << iota
	sameView
	sameKeys
)

type wireHeartbeat struct {
	_    struct{} `cbor:",toarray"`
	Same int
	Sent int64 // wall clock of the sender, microseconds since 1970
	Info wireInfo
	Ask  wireAsk
}

type wireBeat struct {
	_     struct{} `cbor:",toarray"`
	Same  int
	Info  wireInfo
	Reply wireReply
}

type wireSub struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Partition string
	Target    string
	Snapshot  uint64
	Remaining int64
	Once      bool
}

// wireBatch holds the subs of one query; they share its name and body.
type wireBatch struct {
	_     struct{} `cbor:",toarray"`
	Order uint64
	Sent  int64 // wall clock of the sender, microseconds since 1970
	Query string
	Body  []byte
	Subs  []wireSub
}

type wireLoad struct {
	_       struct{} `cbor:",toarray"`
	Queue   int
	Busy    int
	Limit   int
	Cold    bool
	Latency int64
}

type wireAnswer struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Partition string
	Target    string
	Snapshot  uint64
	Outcome   int
	Reason    string
	After     int64
	Body      []byte
	Load      wireLoad
}

type wireAnswers struct {
	_     struct{} `cbor:",toarray"`
	Order uint64
	List  []wireAnswer
}

type wireCancel struct {
	_   struct{} `cbor:",toarray"`
	IDs []uint64
}

type wireFetch struct {
	_     struct{} `cbor:",toarray"`
	Held  []wireHeld
	Hosts bool
}

type wireValue struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Version uint64
	Data    []byte
}

type wireHosts struct {
	_       struct{} `cbor:",toarray"`
	Live    []string
	Leaving []string
}

type wireValues struct {
	_        struct{} `cbor:",toarray"`
	List     []wireValue
	Hosts    *wireHosts
	HostsAge int64
}

type wireTicket struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
	Epoch       uint64
	ID          string
}

type wireForward struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Sent      int64
	Query     string
	Group     string
	Services  []string
	Body      []byte
	Remaining int64
	Ticket    wireTicket
	Best      int
}

type wireMiss struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Reason    string
}

type wireZone struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Covered int
	Total   int
}

type wirePart struct {
	_         struct{} `cbor:",toarray"`
	Partition string
	Target    string
	Body      []byte
}

type wireItem struct {
	_         struct{} `cbor:",toarray"`
	Score     float64
	Partition string
	Body      []byte
}

type wireForwarded struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Query    string
	Outcome  int
	Reason   string
	Detail   string
	After    int64
	Snapshot uint64
	Covered  int
	Total    int
	Missing  []wireMiss
	Zones    []wireZone
	Parts    []wirePart
	Items    []wireItem
	Subs     int
	Host     string
}
