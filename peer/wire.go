package peer

// Wire types are encoded as CBOR arrays, in the order of their fields. A frame is
// the kind byte followed by one of them. Ages are in milliseconds, other times in
// microseconds, because a deadline may be a few milliseconds.

type wireKeyVersion struct {
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
	Versions    []wireKeyVersion
	ReadAge     int64
	HostsHash   uint64
	HostsAge    int64
}

type wireHostIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
}

type wireRequest struct {
	_          struct{} `cbor:",toarray"`
	Sequence   uint64
	RosterHash uint64
	View       []wireHostIncarnation
	Keys       []uint32
	Release    []uint32
}

type wireReply struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	View     []wireHostIncarnation
	Granted  []uint32
	Recorded bool
	Settled  bool
}

// Bits of the field Same. A set bit means that the fields are left out because
// they equal those of the previous frame of this kind on the connection.
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
	Ask  wireRequest
}

type wireHeartbeatReply struct {
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

// wireBatch holds sub-requests of one query, which have its ID and body in common.
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
	_        struct{} `cbor:",toarray"`
	Versions []wireKeyVersion
	Hosts    bool
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
	TopK      int
}

type wireMissing struct {
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

type wirePartial struct {
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
	Missing  []wireMissing
	Zones    []wireZone
	Parts    []wirePartial
	Items    []wireItem
	Subs     int
	Host     string
}
