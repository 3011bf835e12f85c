package registry

// Heartbeat is the body of POST /instances/ID/heartbeat, with the id of its path.
type Heartbeat struct {
	InstanceID     string `json:"-"`
	TargetService  string `json:"targetService"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	ConfigRevision string `json:"configRevision"`
	SlotCount      int    `json:"slotCount"`
	OperState      string `json:"operState"` // ready or draining
	WarmupLeftMs   int64  `json:"warmupLeftMs"`
	DBRole         string `json:"dbRole"` // primary or replica
	CallSeq        uint64 `json:"callSeq"`
}

// In registry.go (pure; time is handed in):
//
//	func ParseHeartbeat(id string, body []byte) (Heartbeat, error)
//	func New(now time.Duration, lostAfter time.Duration) *Registry      made anew when a controller becomes primary
//	func (r *Registry) Heartbeat(now time.Duration, tx *state.Transaction, beat Heartbeat) Taken
//	func (r *Registry) Leave(now time.Duration, tx *state.Transaction, id string)
//	func (r *Registry) Heard(now time.Duration, id string)              other evidence of life: a probe was answered
//	func (r *Registry) Expire(now time.Duration, tx *state.Transaction) []string   ids taken for lost now
//
//	type Taken struct { Fresh bool }   Fresh: its callSeq is newer than every one seen of this instance, so its role counts
