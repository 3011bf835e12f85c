package configuration

// Document is a complete configuration as an operator sent it, parsed and checked.
type Document struct {
	Number   int64  // configRevision
	Digest   string // digest of the meaning of the body: equal for bodies that differ only in white space, order of keys or spelling of values
	Body     []byte // as it was sent
	Contents Contents
}

// Contents holds the known fields of a configuration. Unknown fields are ignored here, but kept in the body and the digest.
type Contents struct {
	Number   int64     `json:"configRevision" validate:"gte=1"`
	Routes   []Route   `json:"routeTable" validate:"-"`   // checked one by one, so that an error names the route
	Services []Service `json:"serviceTable" validate:"-"` // likewise
	Tenants  []Tenant  `json:"tenantTable" validate:"-"`  // likewise
	// HasTenants distinguishes an empty table of tenants, with which no key is accepted, from none, with which no key is needed.
	HasTenants bool   `json:"-"`
	Limits     Limits `json:"limits"`
}

// Classes of routes, by what their reads must see.
const (
	Primary      = "primary"       // all commits acknowledged before the read
	BoundedStale = "bounded_stale" // all commits acknowledged longer ago than MaxStalenessMs
	SelfManaged  = "self_managed"  // as bounded_stale, and all commits of the read's own session
)

// Route maps a database name to a service.
type Route struct {
	Name            string `json:"name" validate:"required"`
	Host            string `json:"host" validate:"required"`
	PathPrefix      string `json:"pathPrefix" validate:"required"`
	Class           string `json:"routeClass" validate:"oneof=primary bounded_stale self_managed"`
	TimeoutMs       int64  `json:"timeoutMs" validate:"gt=0"`
	TargetLatencyMs int64  `json:"targetLatencyMs" validate:"gte=0"`
	Priority        int    `json:"priority" validate:"gte=0"`
	TargetService   string `json:"targetService" validate:"required"`
	MaxAttempts     int    `json:"maxAttempts" validate:"gte=0"`
	MaxStalenessMs  int64  `json:"maxStalenessMs" validate:"gte=0"`
	NoAuth          bool   `json:"noAuth"` // clients need no key
}

// Service is a database service.
type Service struct {
	Name           string `json:"name" validate:"required"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections" validate:"gte=0"`
	Protocol       string `json:"protocol"`
	SyncReplicas   int    `json:"syncReplicas" validate:"gte=0"`
}

// Tenant is a customer. Its clients are identified by their keys.
type Tenant struct {
	Name      string   `json:"name" validate:"required"`
	Keys      []string `json:"apiKeys"` // may be empty: then none of its clients is accepted
	Priority  int      `json:"priority" validate:"gte=0"`
	Limited   bool     `json:"-"`                          // RatePerS was given
	RatePerS  float64  `json:"ratePerS" validate:"gte=0"`  // operations per second, over all gateways
	BurstSize float64  `json:"burstSize" validate:"gte=0"` // how many operations beyond the rate may come at once
}

// Limits holds the limits of sessions.
type Limits struct {
	MaxHeaderBytes  int64 `json:"maxHeaderBytes" validate:"gte=0"`
	MaxBodyBytes    int64 `json:"maxBodyBytes" validate:"gte=0"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs" validate:"gte=0"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs" validate:"gte=0"`
	TxnIdleMs       int64 `json:"txnIdleMs" validate:"gte=0"`
}
