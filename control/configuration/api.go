package configuration

// Order is a whole configuration as an operator sent it, read and checked.
type Order struct {
	Number   int64  // configRevision
	Digest   string // of the meaning of the body: equal for bodies that differ in blanks, order of keys or spelling of numbers
	Body     []byte // as it was sent
	Contents Contents
}

// Contents of a configuration. Unknown fields are ignored here, and kept in the body and the digest.
type Contents struct {
	Number   int64     `json:"configRevision"`
	Routes   []Route   `json:"routeTable"`
	Services []Service `json:"serviceTable"`
	Limits   Limits    `json:"limits"`
}

// Route leads a database name to a service.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Class           string `json:"routeClass"` // primary, bounded_stale, self_managed
	TimeoutMs       int64  `json:"timeoutMs"`
	TargetLatencyMs int64  `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	TargetService   string `json:"targetService"`
	MaxAttempts     int    `json:"maxAttempts"`
	MaxStalenessMs  int64  `json:"maxStalenessMs"`
}

// Service is a database service.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	SyncReplicas   int    `json:"syncReplicas"`
}

// Limits of sessions.
type Limits struct {
	MaxHeaderBytes  int64 `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
	TxnIdleMs       int64 `json:"txnIdleMs"`
}

// In configuration.go:
//
//	func Parse(body []byte) (Order, error)     an error is a verdict on the content alone: the same everywhere and for ever
